package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.foxtailplank.admission.AdmissionDecider;
import org.foxtailplank.admission.AdmissionMode;
import org.foxtailplank.admission.AdmittedShare;
import org.foxtailplank.admission.QueueCapacity;
import org.foxtailplank.admission.ReturnSchedule;
import org.foxtailplank.admission.Returning;
import org.foxtailplank.admission.Verdict;
import org.foxtailplank.job.JobDefinition;

/** Decides on the submissions to a simulated fleet, and lets refused callers return. */
final class SimulatedAdmission {
    /** Time between two reports of the owner, in milliseconds. */
    private static final long REPORT_MS = 200;

    /** Times that a refused caller returns. */
    private static final int RETRIES = 4;

    /** Period whose capacity is shared out, in milliseconds. */
    private static final long SHARE_MS = 3000;

    /** When refused callers return. */
    enum Returns {
        PLANNED,
        RANDOM,
        CONSTANT
    }

    /** How the work ahead of a job is found. */
    enum Ahead {
        WORK,
        LATEST_COMPLETIONS
    }

    /** Shifts a caller's return, in milliseconds; empty if it never returns. */
    interface Behaviour {
        Optional<Long> shiftMs(Random random);
    }

    private final FleetSimulation mSimulation;
    private final AdmissionMode mMode;
    private final CapacitySnapshots mSnapshots;
    private final ReturnSchedule mSchedule = new ReturnSchedule();
    private final Random mRandom = new Random(7);
    private final Map<String, QueueCapacity> mCapacities = new HashMap<>();
    private final Map<String, CompletionList> mLists = new HashMap<>();
    private final Map<String, Long> mShares = new HashMap<>();
    private final Map<String, Integer> mRefusals = new HashMap<>();
    private final PriorityQueue<Submission> mWaiting =
            new PriorityQueue<>(Comparator.comparingLong(Submission::atMs));

    /** Verdicts on the first submission of each batch job, by its ID. */
    final Map<String, Verdict> mFirst = new LinkedHashMap<>();

    final Map<String, JobDefinition> mSubmitted = new LinkedHashMap<>();
    final Set<String> mAccepted = new HashSet<>();

    /** Returns of refused callers by second. */
    final Map<Long, Integer> mReturnsBySecond = new HashMap<>();

    Returns mReturns = Returns.PLANNED;
    Ahead mAhead = Ahead.WORK;
    Behaviour mBehaviour = r -> Optional.of(0L);

    /** Whether refused jobs are accepted nevertheless, to see what becomes of them. */
    boolean mOnlyObserves;

    /** Whether new jobs leave capacity to those refused earlier. */
    boolean mReserves = true;

    /** Period in which no node answers, so that callers send their jobs again at its end. */
    long mOutageFromMs = Long.MAX_VALUE;

    long mOutageUntilMs = Long.MAX_VALUE;
    int mSentRefusals;

    private record Submission(long atMs, JobDefinition job) {}

    SimulatedAdmission(FleetSimulation simulation, AdmissionMode mode) {
        mSimulation = simulation;
        mMode = mode;
        mSnapshots = new CapacitySnapshots(simulation.mOwner.mScheduler, simulation.mPlanner);
        simulation.setAdmission(this);
    }

    FleetSimulation simulation() {
        return mSimulation;
    }

    /** Reports the capacities, and lets callers return whose time has come. */
    void tick() {
        if (mSimulation.elapsedMs() % REPORT_MS == 0) {
            report();
        }
        while (!mWaiting.isEmpty() && mWaiting.peek().atMs() <= nowMs()) {
            JobDefinition job = mWaiting.poll().job();
            mReturnsBySecond.merge(nowMs() / 1000, 1, Integer::sum);
            decide(job);
        }
    }

    private long nowMs() {
        return mSimulation.mOwner.mNowMs;
    }

    private void report() {
        List<String> services = new ArrayList<>();
        mSimulation.mOwner.mConfig.services().forEach(s -> services.add(s.name()));
        for (QueueCapacity c :
                mSnapshots.of(
                        services, mSimulation.mOwner.mConfig, nowMs(), mSimulation.wallMs())) {
            mCapacities.put(c.service(), c);
            long total = c.milliCores() * SHARE_MS;
            for (QueueCapacity.Joining j : c.joining()) {
                total += j.milliCores() * Math.max(0, SHARE_MS - j.afterMs());
            }
            mShares.put(c.service(), total - c.inTimeWork());
            if (mAhead == Ahead.LATEST_COMPLETIONS) {
                mLists.put(
                        c.service(),
                        new CompletionList(
                                mSimulation.mOwner.mScheduler,
                                mSimulation.mOwner.mConfig,
                                c,
                                mSimulation.wallMs()));
            }
        }
    }

    /** Decides on a new job. */
    void submit(JobDefinition job) {
        boolean outage =
                mSimulation.elapsedMs() >= mOutageFromMs
                        && mSimulation.elapsedMs() < mOutageUntilMs;
        if (outage) {
            mWaiting.add(new Submission(nowMs() + mOutageUntilMs - mSimulation.elapsedMs(), job));
        } else {
            decide(job);
        }
    }

    private void decide(JobDefinition job) {
        long now = nowMs();
        QueueCapacity capacity = mCapacities.get(job.service());
        if (capacity != null && mAhead == Ahead.LATEST_COMPLETIONS) {
            capacity = mLists.get(job.service()).capacityFor(job, mSimulation.wallMs());
        }
        Returning returning = mSchedule.returning(job.id(), now);
        AdmittedShare share = new AdmittedShare(mShares.getOrDefault(job.service(), 1L));
        AdmittedShare left = mReserves ? mSchedule.shareFor(job, share, now) : share;
        Verdict verdict = AdmissionDecider.decide(job, capacity, mMode, left, returning, now);
        if (!job.isStanding()) {
            mFirst.putIfAbsent(job.id(), verdict);
            mSubmitted.put(job.id(), job);
        }
        if (verdict.refused() && !mOnlyObserves) {
            refuse(job, verdict, now);
        } else {
            mShares.computeIfPresent(job.service(), (s, w) -> w - (long) job.estimatedWork());
            mSchedule.accepted(job.id(), now);
            mAccepted.add(job.id());
            mSimulation.mOwner.accept(acceptedNow(job));
        }
    }

    private void refuse(JobDefinition job, Verdict verdict, long now) {
        mSentRefusals++;
        Optional<Integer> planned = mSchedule.refused(job, verdict, 1, now);
        int refusals = mRefusals.merge(job.id(), 1, Integer::sum);
        if (planned.isEmpty() || refusals > RETRIES) {
            return;
        }
        int afterS = planned.get();
        if (mReturns == Returns.CONSTANT) {
            afterS = 1;
        } else if (mReturns == Returns.RANDOM) {
            Verdict.Estimate e = verdict.estimate().get();
            long lastMs = e.benefitMs() - e.criticalPathMs() / 4;
            afterS = 1 + mRandom.nextInt((int) Math.max(1, lastMs / 1000));
        }
        long atMs = now + afterS * 1000L;
        mBehaviour
                .shiftMs(mRandom)
                .ifPresent(shift -> mWaiting.add(new Submission(atMs + shift, job)));
    }

    /** The job as the node stores it that accepts it. */
    private JobDefinition acceptedNow(JobDefinition job) {
        return new JobDefinition(
                job.id(),
                job.route(),
                job.service(),
                job.text(),
                job.steps(),
                job.timetable(),
                job.policy(),
                mSimulation.wallMs(),
                job.configVersion(),
                job.organisation());
    }
}
