package org.foxtailplank.fleet;

import java.util.List;
import org.foxtailplank.id.VmId;

/** The next action of a wave in one availability zone. */
public sealed interface WaveDecision {

    /**
     * Reboot these VMs now.
     *
     * @param step the VMs, and the limits of their number
     */
    record Go(WaveStep step) implements WaveDecision {}

    /**
     * Start nothing now.
     *
     * @param limits limits that the wave waits for; empty while its last steps are in progress
     */
    record Hold(List<WaveLimit> limits) implements WaveDecision {}

    /**
     * Pause the wave because VMs failed after its steps.
     *
     * @param reason why, for operators
     * @param failed the VMs that failed since the last command to the wave
     */
    record Pause(String reason, List<VmId> failed) implements WaveDecision {}

    /**
     * The wave is finished in the zone.
     *
     * @param leftOut VMs that do not serve and were not maintained
     */
    record Finished(List<VmId> leftOut) implements WaveDecision {}

    /** The wave is not running in the zone. */
    record Idle() implements WaveDecision {}
}
