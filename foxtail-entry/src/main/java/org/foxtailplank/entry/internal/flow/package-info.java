/** The way of one request through the entry: admission, key, routing, attempts, answer. */
package org.foxtailplank.entry.internal.flow;
