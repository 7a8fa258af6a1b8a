package org.foxtailplank.fleet;

import java.util.List;

/**
 * All steps of a wave, if nothing fails meanwhile.
 *
 * @param steps the steps in order
 * @param blocked limits of the VMs that no step can reach; empty when the wave can end
 */
public record WavePlan(List<WaveStep> steps, List<WaveLimit> blocked) {

    public WavePlan {
        steps = List.copyOf(steps);
        blocked = List.copyOf(blocked);
    }

    /** Number of VMs in all steps. */
    public int vms() {
        return steps.stream().mapToInt(WaveStep::width).sum();
    }
}
