/** Appends to the log in batches, within the budget, with lost answers looked up. */
package org.foxtailplank.platform.internal.append;
