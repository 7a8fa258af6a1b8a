package org.foxtailplank.fleet;

import java.util.List;
import java.util.Map;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.VmId;

/**
 * Which VMs to wake, to put to sleep and to move.
 *
 * @param wake VMs to power on
 * @param sleep VMs to drain and power off
 * @param moves VMs to give to another pool
 * @param wants what each pool wants
 * @param history history to hand to the next plan
 */
public record BufferPlan(
        List<VmId> wake,
        List<VmId> sleep,
        List<VmMove> moves,
        Map<PoolId, PoolWant> wants,
        BufferHistory history) {}
