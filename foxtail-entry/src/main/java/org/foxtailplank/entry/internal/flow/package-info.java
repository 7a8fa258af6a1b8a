/** Processes a request within the entry: admission, idempotency key, routing, attempts, answer. */
package org.foxtailplank.entry.internal.flow;
