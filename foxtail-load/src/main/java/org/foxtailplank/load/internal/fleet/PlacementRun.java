package org.foxtailplank.load.internal.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.foxtailplank.fleet.PlacementAction;
import org.foxtailplank.fleet.PlacementDecision;
import org.foxtailplank.fleet.Placer;
import org.foxtailplank.fleet.TaskId;
import org.foxtailplank.fleet.Worker;
import org.foxtailplank.fleet.WorkerReport;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.load.internal.fleet.PlacementMeter.Count;
import org.foxtailplank.request.RequestClass;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.ConfigurationPublished;
import org.foxtailplank.state.FleetState;
import org.foxtailplank.state.JobCancelled;
import org.foxtailplank.state.JobState;
import org.foxtailplank.state.JobSubmitted;
import org.foxtailplank.state.LogRecord;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.TaskConfirmed;
import org.foxtailplank.state.TaskIntended;
import org.foxtailplank.state.TaskOutcome;
import org.foxtailplank.state.Verdict;
import org.foxtailplank.state.VmLocation;

/** One placer on the real fold and fake workers, under a fake clock. */
final class PlacementRun {

    private static final long TICK_MS = 100;
    private static final long REPORT_MS = 10_000;
    private static final long REPORT_LAG_MS = 5_000;
    private static final double CANCELLED_SHARE = 0.4;

    private record Event(long atMs, long order, Runnable action) {}

    private final FleetScenario mScenario;
    private final Placer mPlacer;
    private final PlacementTimes mTimes;
    private final Random mRandom;
    private final Map<JobId, PlannedJob> mPlanned = new HashMap<>();
    private final FakeWorkerPark mPark;
    private final FleetState mState = new FleetState();
    private final PlacementMeter mMeter = new PlacementMeter();
    private final Set<JobId> mLive = new HashSet<>();
    private final List<PlacementAction> mUnsent = new ArrayList<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
    private long mOrder;
    private long mNow;

    PlacementRun(FleetScenario scenario, Placer placer, PlacementTimes times, long seed) {
        mScenario = scenario;
        mPlacer = placer;
        mTimes = times;
        mRandom = new Random(seed);
        mPark = new FakeWorkerPark(scenario.capacity(), mRandom);
    }

    PlacementResult run(String policy, List<PlannedJob> jobs) {
        prepare(jobs);
        for (mNow = 0; mNow < mTimes.lengthMs(); mNow += TICK_MS) {
            runEvents();
            if (!mTimes.isGone(mNow)) {
                decide();
            }
        }
        return mMeter.result(policy);
    }

    private void prepare(List<PlannedJob> jobs) {
        apply(
                new ConfigurationPublished("{}", Map.of(), mScenario.shape(), Changes.AUTHOR),
                Map.of(ObjectKey.configuration(), 0L));
        mPlacer.setQuotas(mScenario.quotas());
        for (Map.Entry<VmId, VmLocation> e : new TreeMap<>(mScenario.shape().vms()).entrySet()) {
            VmLocation place = e.getValue();
            var capacity = mScenario.capacity().get(e.getKey());
            mPlacer.updateWorker(
                    new Worker(e.getKey(), place.pool(), place.rack(), capacity, true), 0);
        }
        for (PlannedJob job : jobs) {
            mPlanned.put(job.id(), job);
            at(mTimes.afterOutage(job.atMs()), () -> submit(job));
        }
        for (VmId worker : mPark.ids().stream().sorted().toList()) {
            at((long) (mRandom.nextDouble() * REPORT_MS), () -> report(worker));
        }
        at(mTimes.cancelMs(), this::cancelMany);
    }

    private void at(long atMs, Runnable action) {
        mEvents.add(new Event(atMs, mOrder++, action));
    }

    private void runEvents() {
        while (!mEvents.isEmpty() && mEvents.peek().atMs() <= mNow) {
            mEvents.poll().action().run();
        }
    }

    private boolean apply(Change change, Map<ObjectKey, Long> expects) {
        long at = mState.nextOffset();
        LogRecord record =
                new LogRecord(
                        RecordId.of("r" + at),
                        NodeId.of("driver"),
                        Optional.empty(),
                        expects,
                        change);
        boolean applied =
                mState.apply(at, record.withBasis(mState.basis())).equals(Verdict.APPLIED);
        if (!applied) {
            mMeter.count(Count.VOIDED);
        }
        return applied;
    }

    private void submit(PlannedJob job) {
        if (!apply(new JobSubmitted(job.id(), job.spec(), Changes.AUTHOR), Map.of())) {
            return;
        }
        mLive.add(job.id());
        if (isNever(job)) {
            mMeter.count(Count.NEVER_RUNNING);
        }
        if (job.spec().urgency() == RequestClass.URGENT) {
            mMeter.submitted(new TaskId(job.id(), 0), mTimes.isTrouble(mNow), mNow);
        }
        mPlacer.updateJob(mState.job(job.id()).orElseThrow(), mNow);
    }

    private boolean isNever(PlannedJob job) {
        return mScenario.capacity().values().stream()
                .allMatch(c -> c.milliProcessors() < 1000L * job.spec().processors());
    }

    /** Four of ten jobs are cancelled at once. */
    private void cancelMany() {
        List<JobId> live = new ArrayList<>(mLive);
        live.sort(null);
        for (JobId id : live) {
            if (mRandom.nextDouble() < CANCELLED_SHARE) {
                Optional<JobState> job = mState.job(id);
                if (job.isPresent() && apply(new JobCancelled(id, Changes.AUTHOR), Map.of())) {
                    mMeter.cancelled(new TaskId(id, 0));
                    mPlacer.updateJob(mState.job(id).orElse(job.get()), mNow);
                    mLive.remove(id);
                }
            }
        }
    }

    private void decide() {
        long from = System.nanoTime();
        PlacementDecision decision = mPlacer.decide(mNow);
        mMeter.decided(System.nanoTime() - from);
        decision.refused()
                .forEach(
                        (id, why) -> {
                            boolean never = isNever(mPlanned.get(id));
                            mMeter.count(never ? Count.REFUSED_NEVER : Count.REFUSED_OTHERS);
                            mLive.remove(id);
                        });
        for (PlacementDecision.LapsedTask t : decision.lapsed()) {
            confirm(t.task(), t.worker(), t.attempt(), TaskOutcome.LOST);
        }
        mUnsent.addAll(decision.actions());
        for (PlacementAction action : mUnsent) {
            at(mNow + mTimes.appendMs(mNow), () -> intend(action));
        }
        mUnsent.clear();
    }

    private void intend(PlacementAction a) {
        if (mTimes.isGone(mNow)) {
            at(mTimes.afterOutage(mNow), () -> intend(a));
            return;
        }
        if (!a.repeated()) {
            TaskIntended intent =
                    new TaskIntended(
                            a.task().job(), a.task().index(), a.worker(), a.action(), a.attempt());
            if (!apply(intent, Map.of())) {
                return;
            }
            tellPlacer(a.task());
        }
        at(mNow + mTimes.callMs(mNow, mRandom), () -> call(a));
    }

    private void tellPlacer(TaskId task) {
        mState.job(task.job())
                .map(j -> j.tasks().get(task.index()))
                .ifPresent(t -> mPlacer.updateTask(task, t, mNow));
    }

    private void call(PlacementAction a) {
        switch (a.action()) {
            case START -> start(a);
            case THROTTLE -> mMeter.count(Count.THROTTLES);
            case CHECKPOINT -> {
                mMeter.count(Count.CHECKPOINTS);
                at(mNow + mTimes.checkpointMs(mRandom), () -> ended(a, TaskOutcome.STOPPED));
            }
            case STOP -> {
                if (a.why().contains("checkpoint takes too long")) {
                    mMeter.count(Count.STOPS);
                }
                at(mNow + PlacementTimes.STOP_MS, () -> ended(a, TaskOutcome.STOPPED));
            }
            default -> throw new IllegalStateException("no such action: " + a);
        }
    }

    private void start(PlacementAction a) {
        if (a.repeated()) {
            return;
        }
        PlannedJob job = mPlanned.get(a.task().job());
        mMeter.count(Count.STARTS);
        long startsMs = PlacementTimes.START_MS + mRandom.nextInt(PlacementTimes.START_MS);
        if (mPark.isBlackHole(a.worker())) {
            mMeter.count(Count.BLACK_HOLE_STARTS);
            at(mNow + startsMs, () -> confirm(a, TaskOutcome.FAILED));
            return;
        }
        mPark.start(a, job.real(), mNow);
        at(mNow + startsMs, () -> confirm(a, TaskOutcome.RUNNING));
        at(mNow + startsMs + job.taskMs(), () -> ended(a, TaskOutcome.SUCCEEDED));
        mPark.outOfMemory(a.worker())
                .ifPresent(
                        r -> {
                            mMeter.count(Count.OUT_OF_MEMORY);
                            at(mNow + startsMs, () -> ended(a.worker(), r));
                        });
    }

    private void ended(VmId worker, FakeWorkerPark.Running r) {
        if (mPark.end(worker, r.task(), r.attempt())) {
            confirm(r.task(), worker, r.attempt(), TaskOutcome.FAILED);
        }
    }

    private void ended(PlacementAction a, TaskOutcome outcome) {
        if (mPark.end(a.worker(), a.task(), a.attempt())) {
            confirm(a, outcome);
        }
    }

    private void confirm(PlacementAction a, TaskOutcome outcome) {
        confirm(a.task(), a.worker(), a.attempt(), outcome);
    }

    private void confirm(TaskId task, VmId worker, long attempt, TaskOutcome outcome) {
        long when = mTimes.afterOutage(mNow + mTimes.appendMs(mNow));
        at(
                when,
                () -> {
                    TaskConfirmed c =
                            new TaskConfirmed(task.job(), task.index(), worker, attempt, outcome);
                    if (!apply(c, Map.of())) {
                        return;
                    }
                    if (outcome == TaskOutcome.RUNNING) {
                        mMeter.started(task, mNow);
                    } else if (outcome == TaskOutcome.SUCCEEDED) {
                        mMeter.count(Count.SUCCEEDED);
                    }
                    tellPlacer(task);
                });
    }

    private void report(VmId worker) {
        WorkerReport report = mPark.report(worker, mNow);
        at(mNow + REPORT_LAG_MS, () -> mPlacer.applyReport(report, mNow));
        at(mNow + REPORT_MS, () -> report(worker));
        mMeter.used(mPark.usedShare());
    }
}
