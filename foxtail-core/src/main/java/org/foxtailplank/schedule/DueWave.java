package org.foxtailplank.schedule;

import org.foxtailplank.port.WaveOrder;

/**
 * A wave and its end.
 *
 * @param order what the operator ordered
 * @param dueMs when all of its VMs should have been rebooted, on this process's steady clock
 */
public record DueWave(WaveOrder order, long dueMs) {}
