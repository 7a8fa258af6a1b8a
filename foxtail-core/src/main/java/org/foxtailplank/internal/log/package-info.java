/** Decisions of the log client: when to append, what became of an append, where a reader stands. */
package org.foxtailplank.internal.log;
