/** Metrics of the entry. */
package org.foxtailplank.entry.internal.metrics;
