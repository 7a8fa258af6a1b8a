package org.foxtailplank.state;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.id.VmId;

/**
 * A state of the exploration: two controllers of one shard, two operators, a log and a platform.
 *
 * <p>A process acts on the part of the log that it has read; a paused process reads nothing. A
 * record may reach the log never, once or twice. Writers see verdicts only by reading, which models
 * lost answers.
 */
final class ExploredState {
    private static final int CONTROLLERS = 2;
    private static final int PROCESSES = 4;

    /** Maximum number of copies of a record that may reach the log. */
    private static final int COPIES = 2;

    private static final List<VmId> VMS = List.of(VmId.of("claims1"), VmId.of("claims2"));

    private final List<LogRecord> mLog;
    private final List<InFlight> mInFlight;
    private final int[] mRead;
    private final int[] mMade;
    private final Map<VmId, Long> mGenerations;
    private final Map<VmId, Boolean> mStopped;
    private final FoldCache mFolds;

    private ExploredState(ExploredState w) {
        mLog = new ArrayList<>(w.mLog);
        mInFlight = new ArrayList<>(w.mInFlight);
        mRead = w.mRead.clone();
        mMade = w.mMade.clone();
        mGenerations = new TreeMap<>(w.mGenerations);
        mStopped = new TreeMap<>(w.mStopped);
        mFolds = w.mFolds;
    }

    private ExploredState(List<LogRecord> start) {
        mLog = new ArrayList<>(start);
        mInFlight = new ArrayList<>();
        mRead = new int[PROCESSES];
        mMade = new int[PROCESSES];
        Arrays.fill(mRead, start.size());
        mGenerations = new TreeMap<>();
        mStopped = new TreeMap<>();
        mFolds = new FoldCache();
    }

    /** Returns the start state, in which every process has read the whole log. */
    static ExploredState start(List<LogRecord> records) {
        return new ExploredState(records);
    }

    /** Returns this state after a stop of the first VM, with two confirmations of it in flight. */
    ExploredState withStopConfirmedTwice() {
        ExploredState w = this;
        VmId vm = VMS.get(0);
        w = w.withRecord(0, w.view(0), w.epoch(0), Map.of(), intent(w.view(0), vm, VmAction.SLEEP));
        w = w.withDelivery(0);
        w.mInFlight.clear();
        w = w.withRead(0);
        w = w.withPlatformAction(w.view(0).vm(vm).orElseThrow());
        Change done = new VmActionConfirmed(vm, 1, ActionOutcome.DONE);
        w = w.withRecord(0, w.view(0), w.epoch(0), Map.of(), done);
        return w.withRecord(0, w.view(0), w.epoch(0), Map.of(), done);
    }

    /** Returns the folded log. */
    FoldCache.Folded folded() {
        return mFolds.fold(mLog);
    }

    int logLength() {
        return mLog.size();
    }

    /** Returns whether the platform has stopped a VM. */
    boolean isStopped(VmId vm) {
        return mStopped.getOrDefault(vm, false);
    }

    /** Returns a key; states with the same key have the same successors. */
    String key() {
        StringBuilder b = new StringBuilder();
        mLog.forEach(r -> b.append(r.id().value()).append(' '));
        List<String> inFlight = new ArrayList<>();
        mInFlight.forEach(f -> inFlight.add(f.copies() + "*" + f.record().id()));
        Collections.sort(inFlight);
        b.append(inFlight).append(Arrays.toString(mRead));
        b.append(Arrays.toString(mMade)).append(mGenerations).append(mStopped);
        return b.toString();
    }

    /** Returns all states that are reachable in one step. */
    List<ExploredState> successors() {
        List<ExploredState> all = new ArrayList<>();
        for (int i = 0; i < mInFlight.size(); i++) {
            all.add(withDelivery(i));
        }
        for (int p = 0; p < PROCESSES; p++) {
            if (mRead[p] < mLog.size()) {
                all.add(withRead(p));
            }
            if (p < CONTROLLERS) {
                controllerSteps(p, view(p), all);
            } else {
                operatorSteps(p, view(p), all);
            }
        }
        return all;
    }

    private FleetState view(int p) {
        return mFolds.fold(mLog.subList(0, mRead[p])).state();
    }

    private ExploredState withRead(int p) {
        ExploredState w = new ExploredState(this);
        w.mRead[p] = mLog.size();
        return w;
    }

    private Optional<ActingEpoch> epoch(int p) {
        EpochState epoch = view(p).epoch(FoldDriver.ZONE);
        return epoch.holder()
                .filter(node(p)::equals)
                .map(h -> new ActingEpoch(FoldDriver.ZONE, epoch.number()));
    }

    /**
     * Delivers one copy of a record. Loss needs no step of its own: a lost record is never
     * delivered.
     */
    private ExploredState withDelivery(int index) {
        ExploredState w = new ExploredState(this);
        InFlight f = w.mInFlight.remove(index);
        w.mLog.add(f.record());
        if (f.copies() > 1) {
            w.mInFlight.add(new InFlight(f.record(), f.copies() - 1));
        }
        return w;
    }

    private void controllerSteps(int p, FleetState view, List<ExploredState> all) {
        Optional<ActingEpoch> epoch = epoch(p);
        if (epoch.isEmpty()) {
            long number = view.epoch(FoldDriver.ZONE).number();
            EpochTaken taken = new EpochTaken(FoldDriver.ZONE, number, node(p));
            all.add(withRecord(p, view, Optional.empty(), Map.of(), taken));
            return;
        }
        for (VmId id : VMS) {
            VmState vm = view.vm(id).orElseThrow();
            long atPlatform = mGenerations.getOrDefault(id, 0L);
            if (vm.joining().isPresent()) {
                if (atPlatform <= vm.generation()) {
                    Change joined = new VmJoined(id, vm.joining().get());
                    all.add(withDrained(id).withRecord(p, view, epoch, Map.of(), joined));
                }
            } else if (vm.pending().isEmpty()) {
                Change intent = intent(view, id, nextAction(vm.phase()));
                all.add(withRecord(p, view, epoch, Map.of(), intent));
            } else if (atPlatform < vm.generation()) {
                all.add(withPlatformAction(vm));
            } else {
                Change done = new VmActionConfirmed(id, vm.generation(), ActionOutcome.DONE);
                all.add(withRecord(p, view, epoch, Map.of(), done));
            }
        }
    }

    private static VmAction nextAction(VmPhase phase) {
        return switch (phase) {
            case OFF -> VmAction.WAKE;
            case RELEASING -> VmAction.REASSIGN;
            default -> VmAction.SLEEP;
        };
    }

    private static VmActionIntended intent(FleetState view, VmId id, VmAction action) {
        long generation = view.vm(id).orElseThrow().generation() + 1;
        return new VmActionIntended(id, action, generation, Optional.empty(), FoldDriver.AUTHOR);
    }

    private void operatorSteps(int p, FleetState view, List<ExploredState> all) {
        long version = view.version(ObjectKey.configuration());
        Change publish =
                new ConfigurationPublished(
                        "{\"by\":\"" + node(p) + mMade[p] + "\"}",
                        Map.of(),
                        FoldDriver.topology(4, 2),
                        FoldDriver.AUTHOR);
        all.add(withRecord(p, view, Optional.empty(), FoldDriver.configuration(version), publish));
        VmState vm = view.vm(VMS.get(0)).orElseThrow();
        Change release = new VmReleased(vm.id(), vm.pool(), PoolId.of("photos"), FoldDriver.AUTHOR);
        all.add(withRecord(p, view, Optional.empty(), Map.of(), release));
        Change target = new PoolTargetChanged(PoolId.of("claims"), p, 0, FoldDriver.AUTHOR);
        all.add(withRecord(p, view, Optional.empty(), Map.of(), target));
    }

    private ExploredState withDrained(VmId id) {
        ExploredState w = new ExploredState(this);
        w.mStopped.put(id, true);
        return w;
    }

    /** Executes a pending action at the platform, possibly late. */
    private ExploredState withPlatformAction(VmState vm) {
        ExploredState w = new ExploredState(this);
        w.mGenerations.put(vm.id(), vm.generation());
        w.mStopped.put(vm.id(), vm.pending().orElseThrow() == VmAction.SLEEP);
        return w;
    }

    private ExploredState withRecord(
            int p,
            FleetState view,
            Optional<ActingEpoch> epoch,
            Map<ObjectKey, Long> expects,
            Change change) {
        ExploredState w = new ExploredState(this);
        RecordId id = RecordId.of(p + "." + ++w.mMade[p] + "@" + mRead[p] + change.hashCode());
        LogRecord r = new LogRecord(id, node(p), epoch, expects, change, view.basis());
        w.mInFlight.add(new InFlight(r, COPIES));
        return w;
    }

    static NodeId node(int p) {
        return NodeId.of("node-" + p);
    }

    /**
     * A record that was sent and may still reach the log.
     *
     * @param record the record
     * @param copies maximum number of copies that may still arrive
     */
    private record InFlight(LogRecord record, int copies) {}
}
