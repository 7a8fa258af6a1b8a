/** Real processes of the system, started and disturbed by tests. */
package org.foxtailplank.it.process;
