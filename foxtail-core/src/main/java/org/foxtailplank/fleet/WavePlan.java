package org.foxtailplank.fleet;

import java.util.List;

/**
 * All steps of a wave, provided that nothing fails.
 *
 * @param steps the steps in order
 * @param blocked limits that keep the remaining VMs from any step; empty if the wave can finish
 */
public record WavePlan(List<WaveStep> steps, List<WaveLimit> blocked) {

    public WavePlan {
        steps = List.copyOf(steps);
        blocked = List.copyOf(blocked);
    }

    /** Returns the number of VMs in all steps. */
    public int vms() {
        return steps.stream().mapToInt(WaveStep::width).sum();
    }
}
