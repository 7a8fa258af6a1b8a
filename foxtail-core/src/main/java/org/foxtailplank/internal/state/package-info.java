/** How the agreed state is folded: indexes, budgets and the checks of each kind of change. */
package org.foxtailplank.internal.state;
