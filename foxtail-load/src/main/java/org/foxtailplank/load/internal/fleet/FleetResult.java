package org.foxtailplank.load.internal.fleet;

import java.util.List;
import java.util.Optional;

/**
 * What a measurement of the fleet decisions came to.
 *
 * @param scenario the fleet
 * @param vms its VMs
 * @param seed seed of demand, jobs and faults
 * @param machine machine that it ran on
 * @param capacity a day of waves and buffer, by policy; the last one is the baseline
 * @param curve the same day by weight of roll-out time
 * @param cost cost of single decisions, if they were timed
 * @param placement a run of placement, by policy; the last one is the baseline
 */
public record FleetResult(
        String scenario,
        int vms,
        long seed,
        String machine,
        List<CapacityResult> capacity,
        List<CapacityResult> curve,
        Optional<CostResult> cost,
        List<PlacementResult> placement) {}
