/** Open-loop load and experiments. */
package org.foxtailplank.load;
