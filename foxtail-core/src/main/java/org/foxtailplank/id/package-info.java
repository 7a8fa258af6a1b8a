/** Typed names of the things the system manages. */
package org.foxtailplank.id;
