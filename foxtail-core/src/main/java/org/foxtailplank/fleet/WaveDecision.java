package org.foxtailplank.fleet;

import java.util.List;
import org.foxtailplank.id.VmId;

/** What a wave does next in one availability zone. */
public sealed interface WaveDecision {

    /**
     * Reboot these VMs now.
     *
     * @param step the VMs, and what limits their number
     */
    record Go(WaveStep step) implements WaveDecision {}

    /**
     * Start nothing now.
     *
     * @param limits what it waits for; empty while its last VMs are on their way
     */
    record Hold(List<WaveLimit> limits) implements WaveDecision {}

    /**
     * Pause the wave: VMs fail after its steps.
     *
     * @param reason why, for operators
     * @param failed the VMs that failed since the wave was last ordered to run
     */
    record Pause(String reason, List<VmId> failed) implements WaveDecision {}

    /**
     * Every VM of the zone is done.
     *
     * @param leftOut VMs that do not serve and were not maintained
     */
    record Finished(List<VmId> leftOut) implements WaveDecision {}

    /** The wave does not run here, so nothing is done. */
    record Idle() implements WaveDecision {}
}
