/** What the entry counts. */
package org.foxtailplank.entry.internal.metrics;
