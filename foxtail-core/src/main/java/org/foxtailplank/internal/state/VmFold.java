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

/** Folds changes of VMs: moves between pools, actions and their outcomes. */
public final class VmFold {
    private final VmTable mTable;
    private final WaveFold mWaves;

    public VmFold(VmTable table, WaveFold waves) {
        mTable = table;
        mWaves = waves;
    }

    public Verdict apply(long at, VmChange change) {
        Optional<VmState> vm = mTable.vm(change.vm());
        if (vm.isEmpty()) {
            return Verdicts.unknown(ObjectKey.of(change.vm()));
        }
        VmState v = vm.get();
        if (change instanceof VmActionIntended c) {
            return intended(at, v, c);
        } else if (change instanceof VmActionConfirmed c) {
            return confirmed(at, v, c);
        } else if (change instanceof VmReleased c) {
            return released(at, v, c);
        } else if (change instanceof VmJoined c) {
            return joined(at, v, c);
        } else if (change instanceof VmObserved c) {
            return observed(at, v, c);
        }
        throw new IllegalStateException("no fold for " + change);
    }

    private Verdict intended(long at, VmState vm, VmActionIntended c) {
        if (c.generation() != vm.generation() + 1) {
            return staleGeneration(vm, c.generation(), vm.generation() + 1);
        }
        Optional<VmPhase> next = c.action().intendedIn(vm.phase());
        if (vm.pending().isPresent() || vm.joining().isPresent() || next.isEmpty()) {
            return Verdicts.wrongPhase(vm, c.action().toString());
        }
        Optional<Verdict> held = c.wave().flatMap(w -> heldByWave(vm, w));
        if (held.isPresent()) {
            return held.get();
        }
        Optional<Verdict> over = overBudget(vm, next.get());
        if (over.isPresent()) {
            return over.get();
        }
        mTable.put(vm.intending(c.action(), c.wave(), next.get(), at));
        return Verdict.APPLIED;
    }

    private Verdict confirmed(long at, VmState vm, VmActionConfirmed c) {
        if (c.generation() != vm.generation()) {
            return staleGeneration(vm, c.generation(), vm.generation());
        }
        if (vm.pending().isEmpty()) {
            return Verdicts.wrongPhase(vm, "confirmation");
        }
        VmAction action = vm.pending().get();
        VmState next =
                switch (c.outcome()) {
                    case DONE -> vm.in(action.done(), at);
                    case FAILED -> vm.failed(at);
                    case WITHDRAWN -> vm.in(vm.phase().withdrawn(), at);
                };
        boolean maintained = c.outcome() == ActionOutcome.DONE && action == VmAction.REBOOT;
        mTable.put(maintained ? next.maintained(at) : next);
        return Verdict.APPLIED;
    }

    private Verdict released(long at, VmState vm, VmReleased c) {
        if (!vm.pool().equals(c.from())) {
            return Verdicts.wrongPhase("VM " + vm.id() + " is in pool " + vm.pool());
        }
        Optional<PoolId> to = mTable.pool(c.to()).map(PoolState::id);
        if (to.isEmpty()) {
            return Verdicts.unknown(ObjectKey.of(c.to()));
        }
        boolean first =
                (vm.phase() == VmPhase.SERVING || vm.phase() == VmPhase.OFF)
                        && !c.to().equals(c.from());
        boolean again = vm.joining().isPresent() && !vm.joining().equals(to);
        if (vm.pending().isPresent() || !(first || again)) {
            return Verdicts.wrongPhase(vm, "release to pool " + c.to());
        }
        Optional<Verdict> over = overBudget(vm, VmPhase.RELEASING);
        if (over.isPresent()) {
            return over.get();
        }
        mTable.put(vm.movingTo(to, VmPhase.RELEASING, at));
        return Verdict.APPLIED;
    }

    private Verdict joined(long at, VmState vm, VmJoined c) {
        if (!vm.joining().equals(Optional.of(c.to()))) {
            return Verdicts.wrongPhase(vm, "joining pool " + c.to());
        }
        mTable.put(vm.joined(at));
        return Verdict.APPLIED;
    }

    private Verdict observed(long at, VmState vm, VmObserved c) {
        if (c.generation() != vm.generation()) {
            return staleGeneration(vm, c.generation(), vm.generation());
        }
        Optional<VmPhase> next = c.health().observedIn(vm.phase());
        if (next.isEmpty() || vm.pending().isPresent() || vm.joining().isPresent()) {
            return Verdicts.wrongPhase(vm, "seen " + c.health());
        }
        mTable.put(vm.in(next.get(), at));
        return Verdict.APPLIED;
    }

    /** A paused or cancelled wave starts no further step, in the order of the log. */
    private Optional<Verdict> heldByWave(VmState vm, WaveId id) {
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
     * Guards the availability budget: two controllers that each see one VM to spare would both stop
     * one. Each stop is taken off the serving instances at its own offset, so the second one finds
     * none to spare, whoever wrote it and whenever it is carried out.
     */
    private Optional<Verdict> overBudget(VmState vm, VmPhase next) {
        if (vm.phase() != VmPhase.SERVING || next == VmPhase.SERVING) {
            return Optional.empty();
        }
        int missing = mTable.missingAfterStop(vm);
        if (missing == 0) {
            return Optional.empty();
        }
        String service = mTable.serviceOf(vm.pool()).orElseThrow().value();
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
