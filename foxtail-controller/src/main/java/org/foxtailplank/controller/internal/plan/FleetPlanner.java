package org.foxtailplank.controller.internal.plan;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.foxtailplank.fleet.BufferHistory;
import org.foxtailplank.fleet.BufferPlan;
import org.foxtailplank.fleet.BufferPlanner;
import org.foxtailplank.fleet.Observation;
import org.foxtailplank.fleet.VmMove;
import org.foxtailplank.fleet.WaveDecision;
import org.foxtailplank.fleet.WavePlanner;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.ChangeAuthor;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.VmAction;
import org.foxtailplank.state.VmActionIntended;
import org.foxtailplank.state.VmHealth;
import org.foxtailplank.state.VmObserved;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.VmReleased;
import org.foxtailplank.state.VmState;
import org.foxtailplank.state.WaveControlled;
import org.foxtailplank.state.WaveFinished;
import org.foxtailplank.state.WaveOrder;
import org.foxtailplank.state.WavePhase;
import org.foxtailplank.state.WaveState;

/**
 * Turns decisions on waves, the buffer and moves into changes of one zone.
 *
 * <p>Each zone decides from the state of the whole fleet but changes only its own VMs.
 */
public final class FleetPlanner implements ShardPlanner {
    private static final String REASSIGN_REASON = "it has joined its pool";

    private final String mAuthor;
    private final WavePlanner mWaves;
    private final Supplier<BufferPlanner> mBuffer;
    private BufferHistory mHistory = BufferHistory.none();

    /**
     * Creates a planner for one shard.
     *
     * @param author author recorded in its changes
     * @param waves plans the steps of waves
     * @param buffer plans which VMs are powered on
     */
    public FleetPlanner(String author, WavePlanner waves, Supplier<BufferPlanner> buffer) {
        mAuthor = author;
        mWaves = waves;
        mBuffer = buffer;
    }

    @Override
    public List<PlannedChange> plan(
            FleetView view, ZoneId zone, PlatformObservation observation, long nowMs) {
        ChangeBatch batch = new ChangeBatch(view, zone);
        observation.discrepancies().forEach(batch::observe);
        if (!batch.changes().isEmpty()) {
            // Otherwise a wave could finish while VMs that are running still count as off.
            return batch.changes();
        }
        view.vms().stream()
                .filter(vm -> vm.zone().equals(zone) && hasJoinedPool(vm))
                .forEach(vm -> batch.intend(vm, VmAction.REASSIGN, REASSIGN_REASON));
        Observation observed = observation.observation();
        for (WaveState wave : view.waves()) {
            if (wave.phase() == WavePhase.RUNNING) {
                applyWaveDecision(batch, wave, mWaves.next(view, wave, zone, observed));
            }
        }
        BufferPlan plan = mBuffer.get().plan(view, observed, mHistory, nowMs);
        mHistory = plan.history();
        plan.wake().forEach(vm -> batch.intend(vm, VmAction.WAKE, bufferReason(plan, view, vm)));
        plan.sleep().forEach(vm -> batch.intend(vm, VmAction.SLEEP, bufferReason(plan, view, vm)));
        plan.moves().forEach(batch::release);
        return batch.changes();
    }

    /** Returns whether a VM has joined its new pool but is not reassigned yet. */
    private static boolean hasJoinedPool(VmState vm) {
        return vm.phase() == VmPhase.RELEASING && vm.joining().isEmpty() && vm.pending().isEmpty();
    }

    private void applyWaveDecision(ChangeBatch batch, WaveState wave, WaveDecision decision) {
        if (decision instanceof WaveDecision.Go go) {
            go.step().vms().forEach(vm -> batch.reboot(vm, wave));
        } else if (decision instanceof WaveDecision.Pause pause) {
            ChangeAuthor author = new ChangeAuthor(mAuthor, pause.reason());
            batch.addWaveChange(wave, new WaveControlled(wave.id(), WaveOrder.PAUSE, author));
        } else if (decision instanceof WaveDecision.Finished) {
            batch.addWaveChange(wave, new WaveFinished(wave.id(), batch.mZone));
        }
    }

    private static String bufferReason(BufferPlan plan, FleetView view, VmId id) {
        return view.vm(id)
                .map(vm -> plan.poolSizings().get(vm.pool()))
                .map(sizing -> sizing.text())
                .orElse("buffer");
    }

    /** The changes of one plan, with at most one per VM. */
    private final class ChangeBatch {
        private final FleetView mView;
        private final ZoneId mZone;
        private final Set<VmId> mChangedVms = new HashSet<>();
        private final List<PlannedChange> mChanges = new ArrayList<>();

        ChangeBatch(FleetView view, ZoneId zone) {
            mView = view;
            mZone = zone;
        }

        List<PlannedChange> changes() {
            return mChanges;
        }

        void reboot(VmId id, WaveState wave) {
            findChangeable(id)
                    .ifPresent(
                            vm ->
                                    add(
                                            vm,
                                            intent(
                                                    vm,
                                                    VmAction.REBOOT,
                                                    Optional.of(wave.id()),
                                                    "wave " + wave.id()),
                                            Map.of(
                                                    ObjectKey.of(id), vm.version(),
                                                    ObjectKey.of(wave.id()), wave.version())));
        }

        void observe(VmId id, VmHealth health) {
            ChangeAuthor author = new ChangeAuthor(mAuthor, "the platform's list");
            findChangeable(id)
                    .ifPresent(
                            vm ->
                                    add(
                                            vm,
                                            new VmObserved(id, vm.generation(), health, author),
                                            expectedVersions(vm)));
        }

        void intend(VmId id, VmAction action, String why) {
            findChangeable(id).ifPresent(vm -> intend(vm, action, why));
        }

        void intend(VmState vm, VmAction action, String why) {
            add(vm, intent(vm, action, Optional.empty(), why), expectedVersions(vm));
        }

        void release(VmMove move) {
            ChangeAuthor author = new ChangeAuthor(mAuthor, move.reason());
            findChangeable(move.vm())
                    .ifPresent(
                            vm ->
                                    add(
                                            vm,
                                            new VmReleased(vm.id(), move.from(), move.to(), author),
                                            expectedVersions(vm)));
        }

        void addWaveChange(WaveState wave, Change change) {
            mChanges.add(
                    new PlannedChange(change, Map.of(ObjectKey.of(wave.id()), wave.version())));
        }

        private Optional<VmState> findChangeable(VmId id) {
            return mView.vm(id)
                    .filter(vm -> vm.zone().equals(mZone))
                    .filter(vm -> !mView.isFrozen(ObjectKey.of(id)));
        }

        private void add(VmState vm, Change change, Map<ObjectKey, Long> expectedVersions) {
            if (mChangedVms.add(vm.id())) {
                mChanges.add(new PlannedChange(change, expectedVersions));
            }
        }

        private Map<ObjectKey, Long> expectedVersions(VmState vm) {
            return Map.of(ObjectKey.of(vm.id()), vm.version());
        }

        private Change intent(VmState vm, VmAction action, Optional<WaveId> wave, String why) {
            ChangeAuthor author = new ChangeAuthor(mAuthor, why);
            return new VmActionIntended(vm.id(), action, vm.generation() + 1, wave, author);
        }
    }
}
