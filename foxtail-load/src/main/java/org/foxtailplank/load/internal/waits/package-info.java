/** Why jobs waited for their first task, read from the log lines of nodes. */
package org.foxtailplank.load.internal.waits;
