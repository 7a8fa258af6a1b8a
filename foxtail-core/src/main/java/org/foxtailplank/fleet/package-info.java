/** Decisions about the fleet: waves, buffer and placement, and the reasons behind them. */
package org.foxtailplank.fleet;
