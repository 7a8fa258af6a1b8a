package org.foxtailplank.state;

import java.util.Optional;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.id.ZoneId;

/**
 * A VM as folded from the log.
 *
 * @param id the VM
 * @param zone availability zone
 * @param rack rack
 * @param pool the one pool it belongs to
 * @param poolGeneration number of pools it has belonged to; platform calls carry it
 * @param phase where it is in its life
 * @param generation number of actions intended on it; platform calls carry it
 * @param pending action intended and not confirmed
 * @param wave wave whose step it is in
 * @param joining pool it is released to
 * @param lastMaintained offset of its last confirmed reboot; 0 for none
 * @param version offset of its last change
 */
public record VmState(
        VmId id,
        ZoneId zone,
        RackId rack,
        PoolId pool,
        long poolGeneration,
        VmPhase phase,
        long generation,
        Optional<VmAction> pending,
        Optional<WaveId> wave,
        Optional<PoolId> joining,
        long lastMaintained,
        long version) {
    /** A VM that the configuration names for the first time. */
    public static VmState of(VmId id, VmPlace place, long version) {
        return new VmState(
                id,
                place.zone(),
                place.rack(),
                place.pool(),
                1,
                VmPhase.OFF,
                0,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                0,
                version);
    }

    /** The VM moved to another place by the configuration. */
    public VmState standingAt(VmPlace place, long at) {
        return new VmState(
                id,
                place.zone(),
                place.rack(),
                pool,
                poolGeneration,
                phase,
                generation,
                pending,
                wave,
                joining,
                lastMaintained,
                at);
    }

    /** The VM in another phase, with nothing pending. */
    public VmState in(VmPhase next, long at) {
        return with(
                next, generation, Optional.empty(), Optional.empty(), joining, lastMaintained, at);
    }

    /** The VM after its action failed; the wave stays named, so that it can see what it broke. */
    public VmState failed(long at) {
        return with(
                VmPhase.BROKEN,
                generation,
                Optional.empty(),
                wave,
                Optional.empty(),
                lastMaintained,
                at);
    }

    /** The VM on its way to another pool. */
    public VmState movingTo(Optional<PoolId> to, VmPhase next, long at) {
        return with(next, generation, pending, wave, to, lastMaintained, at);
    }

    /** The VM with an action pending. */
    public VmState intending(VmAction action, Optional<WaveId> step, VmPhase next, long at) {
        return with(next, generation + 1, Optional.of(action), step, joining, lastMaintained, at);
    }

    /** The VM after a reboot. */
    public VmState maintained(long at) {
        return with(phase, generation, pending, wave, joining, at, at);
    }

    /** The VM in the pool that it was released to. */
    public VmState joined(long at) {
        return new VmState(
                id,
                zone,
                rack,
                joining.orElseThrow(),
                poolGeneration + 1,
                phase,
                generation,
                pending,
                wave,
                Optional.empty(),
                lastMaintained,
                at);
    }

    private VmState with(
            VmPhase nextPhase,
            long nextGeneration,
            Optional<VmAction> nextPending,
            Optional<WaveId> nextWave,
            Optional<PoolId> nextJoining,
            long maintained,
            long at) {
        return new VmState(
                id,
                zone,
                rack,
                pool,
                poolGeneration,
                nextPhase,
                nextGeneration,
                nextPending,
                nextWave,
                nextJoining,
                maintained,
                at);
    }
}
