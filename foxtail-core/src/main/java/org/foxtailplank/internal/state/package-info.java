/**
 * Folding of log records into the fleet state: indexes, budgets and checks of each kind of change.
 */
package org.foxtailplank.internal.state;
