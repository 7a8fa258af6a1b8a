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
 * @param pool pool that it belongs to
 * @param poolGeneration number of pools that it has belonged to so far
 * @param phase lifecycle phase
 * @param generation number of actions intended on it; platform calls carry it as a fencing number
 * @param pending action that is intended and not yet confirmed
 * @param wave wave whose step includes it
 * @param joining pool that it is to join
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
    /** Returns the initial state of a VM that the configuration adds. */
    public static VmState of(VmId id, VmLocation location, long version) {
        return new VmState(
                id,
                location.zone(),
                location.rack(),
                location.pool(),
                1,
                VmPhase.OFF,
                0,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                0,
                version);
    }

    /** Returns a copy at another location. */
    public VmState withLocation(VmLocation location, long offset) {
        return new VmState(
                id,
                location.zone(),
                location.rack(),
                pool,
                poolGeneration,
                phase,
                generation,
                pending,
                wave,
                joining,
                lastMaintained,
                offset);
    }

    /** Returns a copy in another phase, with no action pending. */
    public VmState withPhase(VmPhase next, long offset) {
        return with(
                next,
                generation,
                Optional.empty(),
                Optional.empty(),
                joining,
                lastMaintained,
                offset);
    }

    /** Returns a copy whose action failed; it keeps its wave, which counts its failures. */
    public VmState afterFailure(long offset) {
        return with(
                VmPhase.BROKEN,
                generation,
                Optional.empty(),
                wave,
                Optional.empty(),
                lastMaintained,
                offset);
    }

    /** Returns a copy that moves to another pool. */
    public VmState withJoining(Optional<PoolId> to, VmPhase next, long offset) {
        return with(next, generation, pending, wave, to, lastMaintained, offset);
    }

    /** Returns a copy with an action pending. */
    public VmState withPending(VmAction action, Optional<WaveId> step, VmPhase next, long offset) {
        return with(
                next, generation + 1, Optional.of(action), step, joining, lastMaintained, offset);
    }

    /** Returns a copy that was maintained. */
    public VmState afterMaintenance(long offset) {
        return with(phase, generation, pending, wave, joining, offset, offset);
    }

    /** Returns a copy that belongs to the pool it was released to. */
    public VmState afterJoin(long offset) {
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
                offset);
    }

    private VmState with(
            VmPhase nextPhase,
            long nextGeneration,
            Optional<VmAction> nextPending,
            Optional<WaveId> nextWave,
            Optional<PoolId> nextJoining,
            long maintained,
            long offset) {
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
                offset);
    }
}
