package org.foxtailplank.internal.state;

import java.util.Optional;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.state.ActionOutcome;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.PoolState;
import org.foxtailplank.state.Verdict;
import org.foxtailplank.state.VmAction;
import org.foxtailplank.state.VmActionConfirmed;
import org.foxtailplank.state.VmActionIntended;
import org.foxtailplank.state.VmChange;
import org.foxtailplank.state.VmJoined;
import org.foxtailplank.state.VmObserved;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.VmReleased;
import org.foxtailplank.state.VmState;
import org.foxtailplank.state.VoidReason;
import org.foxtailplank.state.WavePhase;
import org.foxtailplank.state.WaveState;

/** Folds changes of VMs: moves between pools, actions, outcomes and observations. */
public final class VmFold {
    private final FleetIndex mIndex;
    private final WaveFold mWaves;

    public VmFold(FleetIndex index, WaveFold waves) {
        mIndex = index;
        mWaves = waves;
    }

    public Verdict apply(long offset, VmChange change) {
        Optional<VmState> vm = mIndex.vm(change.vm());
        if (vm.isEmpty()) {
            return Verdicts.unknown(ObjectKey.of(change.vm()));
        }
        VmState v = vm.get();
        if (change instanceof VmActionIntended c) {
            return applyIntended(offset, v, c);
        } else if (change instanceof VmActionConfirmed c) {
            return applyConfirmed(offset, v, c);
        } else if (change instanceof VmReleased c) {
            return applyReleased(offset, v, c);
        } else if (change instanceof VmJoined c) {
            return applyJoined(offset, v, c);
        } else if (change instanceof VmObserved c) {
            return applyObserved(offset, v, c);
        }
        throw new IllegalStateException("unsupported change: " + change);
    }

    private Verdict applyIntended(long offset, VmState vm, VmActionIntended c) {
        if (c.generation() != vm.generation() + 1) {
            return staleGeneration(vm, c.generation(), vm.generation() + 1);
        }
        Optional<VmPhase> next = c.action().pendingPhase(vm.phase());
        if (vm.pending().isPresent() || vm.joining().isPresent() || next.isEmpty()) {
            return Verdicts.wrongPhase(vm, c.action().toString());
        }
        Optional<Verdict> waveError = c.wave().flatMap(w -> checkWave(vm, w));
        if (waveError.isPresent()) {
            return waveError.get();
        }
        Optional<Verdict> over = checkBudget(vm, next.get());
        if (over.isPresent()) {
            return over.get();
        }
        mIndex.put(vm.withPending(c.action(), c.wave(), next.get(), offset));
        return Verdict.APPLIED;
    }

    private Verdict applyConfirmed(long offset, VmState vm, VmActionConfirmed c) {
        if (c.generation() != vm.generation()) {
            return staleGeneration(vm, c.generation(), vm.generation());
        }
        if (vm.pending().isEmpty()) {
            return Verdicts.wrongPhase(vm, "confirmation");
        }
        VmAction action = vm.pending().get();
        VmState next =
                switch (c.outcome()) {
                    case DONE -> vm.withPhase(action.phaseWhenDone(), offset);
                    case FAILED -> vm.afterFailure(offset);
                    case WITHDRAWN -> vm.withPhase(vm.phase().afterWithdrawal(), offset);
                };
        boolean maintained = c.outcome() == ActionOutcome.DONE && action == VmAction.REBOOT;
        mIndex.put(maintained ? next.afterMaintenance(offset) : next);
        return Verdict.APPLIED;
    }

    private Verdict applyReleased(long offset, VmState vm, VmReleased c) {
        if (!vm.pool().equals(c.from())) {
            return Verdicts.wrongPhase("VM " + vm.id() + " is in pool " + vm.pool());
        }
        Optional<PoolId> to = mIndex.pool(c.to()).map(PoolState::id);
        if (to.isEmpty()) {
            return Verdicts.unknown(ObjectKey.of(c.to()));
        }
        boolean starts =
                (vm.phase() == VmPhase.SERVING || vm.phase() == VmPhase.OFF)
                        && !c.to().equals(c.from());
        boolean redirects = vm.joining().isPresent() && !vm.joining().equals(to);
        if (vm.pending().isPresent() || !(starts || redirects)) {
            return Verdicts.wrongPhase(vm, "release to pool " + c.to());
        }
        Optional<Verdict> over = checkBudget(vm, VmPhase.RELEASING);
        if (over.isPresent()) {
            return over.get();
        }
        mIndex.put(vm.withJoining(to, VmPhase.RELEASING, offset));
        return Verdict.APPLIED;
    }

    private Verdict applyJoined(long offset, VmState vm, VmJoined c) {
        if (!vm.joining().equals(Optional.of(c.to()))) {
            return Verdicts.wrongPhase(vm, "joining pool " + c.to());
        }
        mIndex.put(vm.afterJoin(offset));
        return Verdict.APPLIED;
    }

    private Verdict applyObserved(long offset, VmState vm, VmObserved c) {
        if (c.generation() != vm.generation()) {
            return staleGeneration(vm, c.generation(), vm.generation());
        }
        Optional<VmPhase> next = c.health().observedPhase(vm.phase());
        if (next.isEmpty() || vm.pending().isPresent() || vm.joining().isPresent()) {
            return Verdicts.wrongPhase(vm, "observation " + c.health());
        }
        mIndex.put(vm.withPhase(next.get(), offset));
        return Verdict.APPLIED;
    }

    /** Rejects a step of a wave that is not running or does not cover the VM. */
    private Optional<Verdict> checkWave(VmState vm, WaveId id) {
        Optional<WaveState> wave = mWaves.wave(id);
        if (wave.isEmpty()) {
            return Optional.of(Verdicts.unknown(ObjectKey.of(id)));
        }
        WaveState w = wave.get();
        boolean covers =
                w.zones().contains(vm.zone())
                        && (w.pools().isEmpty() || w.pools().contains(vm.pool()));
        if (!covers) {
            return Optional.of(Verdicts.malformed("wave " + id + " does not cover VM " + vm.id()));
        }
        if (w.phase() != WavePhase.RUNNING) {
            return Optional.of(Verdicts.wrongPhase("wave " + id + " is " + w.phase()));
        }
        return Optional.empty();
    }

    /**
     * Guards against two controllers that both see the same spare VM and stop one each. A stop
     * reduces the serving instances at its own offset, so the second stop exceeds the budget,
     * whoever wrote it and whenever it is executed.
     */
    private Optional<Verdict> checkBudget(VmState vm, VmPhase next) {
        if (vm.phase() != VmPhase.SERVING || next == VmPhase.SERVING) {
            return Optional.empty();
        }
        int missing = mIndex.missingAfterStop(vm);
        if (missing == 0) {
            return Optional.empty();
        }
        String service = mIndex.serviceOf(vm.pool()).orElseThrow().value();
        return Optional.of(
                Verdict.refused(
                        VoidReason.OVER_BUDGET,
                        "without VM %s and one more rack, service %s lacks %d instances"
                                .formatted(vm.id(), service, missing)));
    }

    private static Verdict staleGeneration(VmState vm, long found, long wanted) {
        return Verdict.refused(
                VoidReason.STALE_VERSION,
                "VM %s: generation %d, not %d".formatted(vm.id(), wanted, found));
    }
}
