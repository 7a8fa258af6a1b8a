package org.foxtailplank.fleet;

import java.util.List;
import java.util.Map;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.VmId;

/**
 * VMs to wake, to put to sleep and to move.
 *
 * @param wake VMs to power on
 * @param sleep VMs to drain and power off
 * @param moves VMs to move to another pool
 * @param poolSizings desired number of VMs for each pool, and its components
 * @param history history for the next plan
 */
public record BufferPlan(
        List<VmId> wake,
        List<VmId> sleep,
        List<VmMove> moves,
        Map<PoolId, PoolSizing> poolSizings,
        BufferHistory history) {}
