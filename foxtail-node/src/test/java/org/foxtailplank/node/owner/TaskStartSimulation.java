package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.Timetable;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.LinkRate;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.node.journal.JournalPartitions;
import org.foxtailplank.port.LogPartition;

/** Nodes, workers and a store that fail at random, while jobs are submitted. */
final class TaskStartSimulation {
    static final String STANDING_PREFIX = "f";

    private static final int NODES = 3;
    private static final int MAX_VMS = 4;
    private static final int DURATION_MS = 40_000;
    private static final int STEP_MS = 5;
    private static final int LONG_MS = 9000;
    private static final int MAX_PAUSE_MS = 7000;
    private static final int SHORT_MS = 1500;
    private static final int MAX_GAP_MS = 3000;
    private static final int MAX_RARITY = 10;
    private static final int MAX_SENDS = 20;
    private static final int BURST_GAP_MS = 150;
    private static final int ISOLATION_MS = 13_000;
    private static final int MIN_REPLACE_MS = 1200;
    private static final int MAX_TASKS = 3;
    private static final int MAX_ATTEMPTS = 50;
    private static final int TEXT_LENGTH = 3000;
    private static final double NARROW_MEGABITS_PER_S = 1;
    private static final RunMode STANDING = new RunMode(false, true, false, false, 0, 0);

    private final Random mRandom;
    private final FakeTime mTime = new FakeTime();
    private final SimulatedRuns mRuns = new SimulatedRuns(mTime);
    private final SimulatedNetwork mNetwork;
    private final SimulatedStore mStore;
    private final SimulatedFleet mFleet;
    private final LinkRate mLink;
    private final Map<String, SimulatedNode> mNodes = new LinkedHashMap<>();
    private final List<SimulatedNode> mProcesses = new ArrayList<>();
    private final Map<Event, Integer> mWeights = new EnumMap<>(Event.class);
    private final List<String> mStandingJobs = new ArrayList<>();
    private int mJobs;
    private int mTakeovers;
    private int mResignations;
    private boolean mTakeoverTrouble;
    private boolean mDelaysNextTakeover;
    private double mBurstShare;

    private enum Event {
        CANCEL,
        RESIGN,
        RESIGN_TWICE,
        PAUSE_OWNER,
        PAUSE_OWNER_AT_SEND,
        PAUSE_NODE,
        KILL_OWNER,
        KILL_NODE,
        CUT_FROM_STORE,
        CUT_FROM_WORKER,
        CUT_FROM_WORKERS,
        CUT_FROM_NODE,
        ISOLATE_OWNER,
        REPLACE_OWNER_DURING_JOIN,
        CUT_FROM_VM_SERVICE,
        CRASH,
        DROP_ENTRY,
        STORE_DOWN,
        PARTITION_DOWN,
        REJECT_APPENDS,
        CALM,
        TROUBLE
    }

    TaskStartSimulation(long seed) {
        mRandom = new Random(seed);
        mNetwork = new SimulatedNetwork(mTime, mRandom);
        mStore = new SimulatedStore(mTime, mNetwork);
        mFleet =
                new SimulatedFleet(
                        mTime, mRandom, mNetwork, mStore, mRuns, 2 + mRandom.nextInt(MAX_VMS - 1));
        mLink = mRandom.nextBoolean() ? LinkRate.UNKNOWN : new LinkRate(NARROW_MEGABITS_PER_S);
        // Each run draws from some of the events only, so that rare sequences of a few occur.
        int rarity = 2 + mRandom.nextInt(MAX_RARITY);
        for (Event e : Event.values()) {
            mWeights.put(e, mRandom.nextInt(rarity) == 0 ? 1 + mRandom.nextInt(3) : 0);
        }
        mWeights.put(Event.CALM, 1);
        mTakeoverTrouble = mRandom.nextBoolean();
        if (mRandom.nextBoolean()) {
            mNetwork.setRates(mRandom.nextDouble() / 4, mRandom.nextDouble());
        }
        mBurstShare = mRandom.nextDouble() / 2;
        for (int i = 0; i < NODES; i++) {
            boot(i);
        }
    }

    private void boot(int number) {
        String name = "node" + number;
        SimulatedNode node =
                new SimulatedNode(this, name, "10.0.1." + (number + 1), mLink, mRandom);
        mNodes.put(name, node);
        mProcesses.add(node);
        node.start();
    }

    FakeTime time() {
        return mTime;
    }

    SimulatedRuns runs() {
        return mRuns;
    }

    SimulatedNetwork network() {
        return mNetwork;
    }

    SimulatedStore store() {
        return mStore;
    }

    SimulatedFleet fleet() {
        return mFleet;
    }

    /** All processes of nodes, also those that were killed. */
    List<SimulatedNode> processes() {
        return mProcesses;
    }

    /** Number of takeovers so far. */
    int takeovers() {
        return mTakeovers;
    }

    /** Called at each takeover, whose appends may be rejected for some time. */
    void tookOver(SimulatedNode node) {
        mTakeovers++;
        if (mDelaysNextTakeover || mTakeoverTrouble && mRandom.nextBoolean()) {
            mDelaysNextTakeover = false;
            rejectAppends(node);
        }
    }

    private void rejectAppends(SimulatedNode node) {
        int ms = 1 + mRandom.nextInt(MAX_GAP_MS);
        mRuns.trace("store rejects " + node.name() + " for " + ms);
        for (LogPartition p : JournalPartitions.all(3)) {
            if (mRandom.nextInt(3) > 0) {
                mStore.rejectAppends(node.name(), p, ms);
            }
        }
    }

    /** Returns the process that listens on an address. */
    Optional<SimulatedNode> node(String address) {
        return mNodes.values().stream()
                .filter(n -> n.address().equals(address) && !n.process().hasEnded())
                .findAny();
    }

    /** Returns the nodes that relay starts of a node. */
    List<SimulatedNode> others(SimulatedNode node) {
        return mNodes.values().stream().filter(n -> n != node && !n.process().hasEnded()).toList();
    }

    /** Runs until the end or a violation. */
    void run() {
        int meanGapMs = 200 + mRandom.nextInt(MAX_GAP_MS);
        int submitGapMs = 200 + mRandom.nextInt(MAX_GAP_MS);
        long endMs = mTime.nowMs() + DURATION_MS;
        long nextMs = mTime.nowMs() + SHORT_MS;
        long submitMs = mTime.nowMs();
        while (mTime.nowMs() < endMs && mRuns.violation().isEmpty()) {
            mTime.advance(STEP_MS);
            resignAgain();
            if (mTime.nowMs() >= submitMs) {
                submitMs = mTime.nowMs() + mRandom.nextInt(2 * submitGapMs);
                submit();
            }
            if (mTime.nowMs() >= nextMs) {
                boolean burst = mRandom.nextDouble() < mBurstShare;
                nextMs = mTime.nowMs() + mRandom.nextInt(burst ? BURST_GAP_MS : 2 * meanGapMs);
                play(draw());
            }
        }
    }

    private Event draw() {
        int sum = mWeights.values().stream().mapToInt(w -> w).sum();
        int place = mRandom.nextInt(sum);
        for (Map.Entry<Event, Integer> e : mWeights.entrySet()) {
            place -= e.getValue();
            if (place < 0) {
                return e.getKey();
            }
        }
        throw new IllegalStateException("the place is below the sum");
    }

    private void play(Event event) {
        mRuns.trace(event.toString());
        SimulatedNode any = pick(List.copyOf(mNodes.values()));
        SimulatedNode owner = owner().orElse(any);
        String vm = pick(mFleet.vms());
        int ms = 1 + mRandom.nextInt(mRandom.nextBoolean() ? SHORT_MS : LONG_MS);
        switch (event) {
            case CANCEL -> cancel();
            case RESIGN -> owner.resign();
            case RESIGN_TWICE -> {
                owner.resign();
                mResignations++;
            }
            case PAUSE_OWNER -> pause(owner);
            case PAUSE_OWNER_AT_SEND ->
                    owner.process().pauseAtSend(1 + mRandom.nextInt(MAX_SENDS), () -> pause(owner));
            case PAUSE_NODE -> pause(any);
            case KILL_OWNER -> kill(owner, ms);
            case KILL_NODE -> kill(any, ms);
            case CUT_FROM_STORE ->
                    cut(mRandom.nextBoolean() ? owner : any, SimulatedStore.NAME, ms);
            case CUT_FROM_WORKER -> cut(mRandom.nextBoolean() ? owner : any, vm, ms);
            case CUT_FROM_WORKERS -> mFleet.vms().forEach(v -> cutAtRandom(owner, v, ms));
            case CUT_FROM_NODE -> {
                cut(any, owner.name(), ms);
                cut(owner, any.name(), ms);
            }
            case ISOLATE_OWNER -> isolate(owner, SHORT_MS + mRandom.nextInt(ISOLATION_MS));
            case REPLACE_OWNER_DURING_JOIN -> replaceDuringJoin(owner, vm);
            case CUT_FROM_VM_SERVICE -> cut(any, SimulatedFleet.VM_SERVICE, ms);
            case CRASH -> mFleet.crash(vm, ms);
            case DROP_ENTRY -> mFleet.dropEntry(vm, ms);
            case STORE_DOWN -> storeDown(ms);
            case PARTITION_DOWN -> mStore.stop(pick(JournalPartitions.all(3)), ms);
            case REJECT_APPENDS -> rejectAppends(mRandom.nextBoolean() ? owner : any);
            case CALM -> mNetwork.setRates(0, 0);
            case TROUBLE -> mNetwork.setRates(mRandom.nextDouble() / 4, mRandom.nextDouble() / 2);
            default -> throw new IllegalStateException("no rule for " + event);
        }
    }

    private <T> T pick(List<T> from) {
        return from.get(mRandom.nextInt(from.size()));
    }

    private Optional<SimulatedNode> owner() {
        List<SimulatedNode> owners =
                mNodes.values().stream()
                        .filter(n -> n.isOwner() && !n.process().hasEnded())
                        .toList();
        return owners.isEmpty() ? Optional.empty() : Optional.of(pick(owners));
    }

    /** Lets a new owner resign within a second of its takeover. */
    private void resignAgain() {
        Optional<SimulatedNode> owner =
                mResignations == 0
                        ? Optional.empty()
                        : mNodes.values().stream().filter(SimulatedNode::isOwner).findFirst();
        if (owner.isPresent()
                && mTime.nowMs() - owner.get().takeoverMs() < 1000
                && mRandom.nextInt(50) == 0) {
            mResignations--;
            owner.get().resign();
        }
    }

    private void pause(SimulatedNode node) {
        pause(node, 1 + mRandom.nextInt(MAX_PAUSE_MS));
    }

    private void pause(SimulatedNode node, int ms) {
        if (node.process().isPaused() || node.process().hasEnded()) {
            return;
        }
        mRuns.trace(node.name() + " pauses for " + ms);
        node.process().pause();
        boolean timersFirst = mRandom.nextBoolean();
        mTime.after(
                ms,
                () -> {
                    mRuns.trace(node.name() + " goes on");
                    node.process().resume(timersFirst);
                });
    }

    private void kill(SimulatedNode node, int ms) {
        if (!node.process().hasEnded()) {
            node.kill();
            int number = List.copyOf(mNodes.keySet()).indexOf(node.name());
            mTime.after(ms, () -> boot(number));
        }
    }

    /** Cuts a connection in both directions or in one. */
    private void cut(SimulatedNode node, String target, int ms) {
        int kind = mRandom.nextInt(4);
        mRuns.trace("cut of " + node.name() + " from " + target + " for " + ms + ", " + kind);
        if (kind != 0) {
            mNetwork.cut(node.name(), target, ms);
        }
        if (kind != 1) {
            mNetwork.cut(target, node.name(), ms);
        }
    }

    private void cutAtRandom(SimulatedNode node, String target, int ms) {
        if (mRandom.nextBoolean()) {
            cut(node, target, ms);
        }
    }

    /** Cuts off an owner with some workers from the store, the other nodes and workers. */
    private void isolate(SimulatedNode node, int ms) {
        mRuns.trace("isolation of " + node.name() + " for " + ms);
        cutBoth(node.name(), SimulatedStore.NAME, ms);
        for (String vm : mFleet.vms()) {
            boolean withOwner = mRandom.nextBoolean();
            mRuns.trace(vm + (withOwner ? " with " : " without ") + node.name());
            for (SimulatedNode other : mNodes.values()) {
                if ((other == node) != withOwner) {
                    cutBoth(other.name(), vm, ms);
                }
            }
        }
        for (SimulatedNode other : mNodes.values()) {
            if (other != node) {
                cutBoth(other.name(), node.name(), ms);
            }
        }
    }

    private void cutBoth(String from, String to, int ms) {
        mNetwork.cut(from, to, ms);
        mNetwork.cut(to, from, ms);
    }

    /** Pauses an owner until it is replaced, while a worker joins and the new owner is delayed. */
    private void replaceDuringJoin(SimulatedNode owner, String vm) {
        pause(owner, MIN_REPLACE_MS + mRandom.nextInt(SHORT_MS));
        mFleet.crash(vm, MIN_REPLACE_MS + mRandom.nextInt(SHORT_MS));
        mDelaysNextTakeover = true;
    }

    private void storeDown(int ms) {
        mStore.stop(ms);
        for (String vm : mFleet.vms()) {
            if (mRandom.nextInt(3) == 0) {
                mFleet.dropEntry(vm, ms);
            }
        }
    }

    private void submit() {
        boolean standing = mRandom.nextInt(3) == 0;
        String id = (standing ? STANDING_PREFIX : "0") + String.format("%015x", ++mJobs);
        TaskStep step =
                new TaskStep(
                        1 + mRandom.nextInt(MAX_TASKS),
                        Resources.of(1, 1, 0),
                        500,
                        List.of(),
                        PlacementConstraints.ANYWHERE,
                        standing ? STANDING : RunMode.PLAIN);
        JobDefinition definition =
                new JobDefinition(
                        id,
                        "queue",
                        OwnerFleetTestBase.SERVICE,
                        "t".repeat(TEXT_LENGTH),
                        List.of(step),
                        Timetable.AT_ONCE,
                        new QueuePolicy(0, MAX_ATTEMPTS, 1.6, 600, Optional.empty()),
                        mTime.wallMs(),
                        0,
                        "");
        store(new JobAccepted(definition));
        if (standing) {
            mStandingJobs.add(id);
        }
    }

    private void cancel() {
        if (!mStandingJobs.isEmpty()) {
            store(new JobCancelled(mStandingJobs.remove(0), mTime.wallMs()));
        }
    }

    private void store(JournalRecord record) {
        mStore.store(
                pick(JournalPartitions.all(mRandom.nextInt(4) == 0 ? 3 : 1)),
                JournalCodec.encode(record));
    }
}
