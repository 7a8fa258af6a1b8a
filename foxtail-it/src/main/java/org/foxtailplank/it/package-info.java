/** Integration tests with real processes, and their tools. */
package org.foxtailplank.it;
