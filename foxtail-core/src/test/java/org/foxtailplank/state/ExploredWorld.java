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
 * Two controllers of one shard, two operators, a log and a platform, at one moment.
 *
 * <p>A process acts on what it has read, which may be old: not reading is being paused. A record
 * that was made may reach the log never, once or twice; a writer learns its verdict by reading
 * only, so each answer is a lost one.
 */
final class ExploredWorld {
    private static final int CONTROLLERS = 2;
    private static final int PROCESSES = 4;

    /** Times that a record may reach the log. */
    private static final int COPIES = 2;

    private static final List<VmId> VMS = List.of(VmId.of("claims1"), VmId.of("claims2"));

    private final List<LogRecord> mLog;
    private final List<InFlight> mInFlight;
    private final int[] mRead;
    private final int[] mMade;
    private final Map<VmId, Long> mGenerations;
    private final Map<VmId, Boolean> mStopped;
    private final FoldCache mFolds;

    private ExploredWorld(ExploredWorld w) {
        mLog = new ArrayList<>(w.mLog);
        mInFlight = new ArrayList<>(w.mInFlight);
        mRead = w.mRead.clone();
        mMade = w.mMade.clone();
        mGenerations = new TreeMap<>(w.mGenerations);
        mStopped = new TreeMap<>(w.mStopped);
        mFolds = w.mFolds;
    }

    private ExploredWorld(List<LogRecord> start) {
        mLog = new ArrayList<>(start);
        mInFlight = new ArrayList<>();
        mRead = new int[PROCESSES];
        mMade = new int[PROCESSES];
        Arrays.fill(mRead, start.size());
        mGenerations = new TreeMap<>();
        mStopped = new TreeMap<>();
        mFolds = new FoldCache();
    }

    /** All VMs serve and every process has read the whole log. */
    static ExploredWorld start(List<LogRecord> records) {
        return new ExploredWorld(records);
    }

    /** The same with a stop of the first VM done and two confirmations of it under way. */
    ExploredWorld confirmingAStop() {
        ExploredWorld w = this;
        VmId vm = VMS.get(0);
        w = w.made(0, w.view(0), w.epoch(0), Map.of(), intent(w.view(0), vm, VmAction.SLEEP));
        w = w.delivered(0);
        w.mInFlight.clear();
        w = w.read(0);
        w = w.acted(w.view(0).vm(vm).orElseThrow());
        Change done = new VmActionConfirmed(vm, 1, ActionOutcome.DONE);
        w = w.made(0, w.view(0), w.epoch(0), Map.of(), done);
        return w.made(0, w.view(0), w.epoch(0), Map.of(), done);
    }

    /** The log as it stands, folded. */
    FoldCache.Folded folded() {
        return mFolds.fold(mLog);
    }

    int logLength() {
        return mLog.size();
    }

    /** Whether the platform has stopped a VM. */
    boolean isStopped(VmId vm) {
        return mStopped.getOrDefault(vm, false);
    }

    /** Two worlds with the same key have the same future. */
    String key() {
        StringBuilder b = new StringBuilder();
        mLog.forEach(r -> b.append(r.id().value()).append(' '));
        List<String> flying = new ArrayList<>();
        mInFlight.forEach(f -> flying.add(f.copies() + "*" + f.record().id()));
        Collections.sort(flying);
        b.append(flying).append(Arrays.toString(mRead));
        b.append(Arrays.toString(mMade)).append(mGenerations).append(mStopped);
        return b.toString();
    }

    /** Every world that one step leads to. */
    List<ExploredWorld> successors() {
        List<ExploredWorld> all = new ArrayList<>();
        for (int i = 0; i < mInFlight.size(); i++) {
            all.add(delivered(i));
        }
        for (int p = 0; p < PROCESSES; p++) {
            if (mRead[p] < mLog.size()) {
                all.add(read(p));
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

    private ExploredWorld read(int p) {
        ExploredWorld w = new ExploredWorld(this);
        w.mRead[p] = mLog.size();
        return w;
    }

    private Optional<ActingEpoch> epoch(int p) {
        EpochState epoch = view(p).epoch(FoldDriver.ZONE);
        return epoch.holder()
                .filter(node(p)::equals)
                .map(h -> new ActingEpoch(FoldDriver.ZONE, epoch.number()));
    }

    /** A record that is never delivered again is lost; so being lost needs no step of its own. */
    private ExploredWorld delivered(int index) {
        ExploredWorld w = new ExploredWorld(this);
        InFlight f = w.mInFlight.remove(index);
        w.mLog.add(f.record());
        if (f.copies() > 1) {
            w.mInFlight.add(new InFlight(f.record(), f.copies() - 1));
        }
        return w;
    }

    private void controllerSteps(int p, FleetState view, List<ExploredWorld> all) {
        Optional<ActingEpoch> epoch = epoch(p);
        if (epoch.isEmpty()) {
            long number = view.epoch(FoldDriver.ZONE).number();
            EpochTaken taken = new EpochTaken(FoldDriver.ZONE, number, node(p));
            all.add(made(p, view, Optional.empty(), Map.of(), taken));
            return;
        }
        for (VmId id : VMS) {
            VmState vm = view.vm(id).orElseThrow();
            long atPlatform = mGenerations.getOrDefault(id, 0L);
            if (vm.joining().isPresent()) {
                if (atPlatform <= vm.generation()) {
                    Change joined = new VmJoined(id, vm.joining().get());
                    all.add(drained(id).made(p, view, epoch, Map.of(), joined));
                }
            } else if (vm.pending().isEmpty()) {
                Change intent = intent(view, id, nextAction(vm.phase()));
                all.add(made(p, view, epoch, Map.of(), intent));
            } else if (atPlatform < vm.generation()) {
                all.add(acted(vm));
            } else {
                Change done = new VmActionConfirmed(id, vm.generation(), ActionOutcome.DONE);
                all.add(made(p, view, epoch, Map.of(), done));
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

    private void operatorSteps(int p, FleetState view, List<ExploredWorld> all) {
        long version = view.version(ObjectKey.configuration());
        Change publish =
                new ConfigurationPublished(
                        "{\"by\":\"" + node(p) + mMade[p] + "\"}",
                        Map.of(),
                        FoldDriver.shape(4, 2),
                        FoldDriver.AUTHOR);
        all.add(made(p, view, Optional.empty(), FoldDriver.configuration(version), publish));
        VmState vm = view.vm(VMS.get(0)).orElseThrow();
        Change release = new VmReleased(vm.id(), vm.pool(), PoolId.of("photos"), FoldDriver.AUTHOR);
        all.add(made(p, view, Optional.empty(), Map.of(), release));
        Change target = new PoolTargetChanged(PoolId.of("claims"), p, 0, FoldDriver.AUTHOR);
        all.add(made(p, view, Optional.empty(), Map.of(), target));
    }

    private ExploredWorld drained(VmId id) {
        ExploredWorld w = new ExploredWorld(this);
        w.mStopped.put(id, true);
        return w;
    }

    /** The platform takes an action that is above the VM's generation, late or not. */
    private ExploredWorld acted(VmState vm) {
        ExploredWorld w = new ExploredWorld(this);
        w.mGenerations.put(vm.id(), vm.generation());
        w.mStopped.put(vm.id(), vm.pending().orElseThrow() == VmAction.SLEEP);
        return w;
    }

    private ExploredWorld made(
            int p,
            FleetState view,
            Optional<ActingEpoch> epoch,
            Map<ObjectKey, Long> expects,
            Change change) {
        ExploredWorld w = new ExploredWorld(this);
        RecordId id = RecordId.of(p + "." + ++w.mMade[p] + "@" + mRead[p] + change.hashCode());
        LogRecord r = new LogRecord(id, node(p), epoch, expects, change, view.basis());
        w.mInFlight.add(new InFlight(r, COPIES));
        return w;
    }

    static NodeId node(int p) {
        return NodeId.of("node-" + p);
    }

    /**
     * A record on its way to the log.
     *
     * @param record the record
     * @param copies times that it may still arrive
     */
    private record InFlight(LogRecord record, int copies) {}
}
