package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Predicate;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.RunStatus;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.organisation.Organisations;
import org.foxtailplank.port.CommandOutcome;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.PlacementAdvisor.Advice;
import org.foxtailplank.port.ServiceConfig;
import org.foxtailplank.port.WorkerClient.PollResponse;
import org.foxtailplank.port.WorkerInfo;

/**
 * Tracks jobs and workers for the owner and decides which runs to start and stop.
 *
 * <p>Callers report jobs, workers and answers as they arrive, and {@link #decide} returns the
 * actions to take. A new owner can rebuild all state from the journal and the workers. Times are
 * milliseconds of a monotonic clock unless named wall time.
 */
public final class Scheduler {
    private final ScheduleLimits mLimits;
    private final RunTable mRuns;
    private final TaskPlacer mPlacer;
    private final CrashTracker mCrashes;
    private final RestartedWorkers mRestarted;
    private final CommandAnswers mAnswers;
    private final InheritedRuns mInherited;
    private final WorkerTable mWorkers = new WorkerTable();
    private final List<Decisions.Pace> mPaceChanges = new ArrayList<>();
    private final ArrivalRate mArrivals = new ArrivalRate();
    private final JobEntitlements mEntitlements = new JobEntitlements();
    private final AdviceRequests mAdvice = new AdviceRequests(new Random());
    private final BatchCapacities mBatchCapacities = new BatchCapacities();
    private final UnstoredJobs mUnstored = new UnstoredJobs();
    private long mOthersRenewedUntilMs = Long.MIN_VALUE / 2;
    private boolean mStoreAvailable = true;

    /** What the time since 1970 was ahead of the monotonic clock at the last decision. */
    private long mWallOffsetMs;

    /**
     * Creates a scheduler without jobs and workers.
     *
     * @param limits times bounded by the platform
     */
    public Scheduler(ScheduleLimits limits) {
        mLimits = limits;
        mRuns = new RunTable();
        mPlacer = new TaskPlacer(mRuns, mAdvice);
        mCrashes = new CrashTracker(mRuns);
        mRestarted = new RestartedWorkers(mRuns);
        mAnswers = new CommandAnswers(mRuns, mRestarted);
        mInherited = new InheritedRuns(mRuns, mWorkers, mCrashes);
    }

    /**
     * Adds a worker or updates what is known of it.
     *
     * @return whether the worker may have started again, so that it should be polled at once
     */
    public boolean updateWorker(WorkerInfo info, long nowMs) {
        return mWorkers.update(info, nowMs);
    }

    /**
     * Handles the removal of a worker from the directory. Its runs continue until they end or its
     * lease expires.
     */
    public void unlistWorker(String id) {
        mWorkers.unlist(id);
    }

    /** Removes a worker whose incarnation has ended, with its runs. */
    public WorkerEnd removeWorker(WorkerState worker, WorkerEndReason reason, long nowMs) {
        if (!mWorkers.remove(worker)) {
            return WorkerEnd.NONE;
        }
        List<TaskRun> ended = List.copyOf(worker.runs());
        boolean crashed = !reason.isOrdered() && !worker.registration().isDraining();
        List<WorkerEnd.Suspect> suspects =
                crashed ? mCrashes.workerCrashed(worker, nowMs) : List.of();
        ended.forEach(mRuns::removeRun);
        return new WorkerEnd(crashed, ended, suspects);
    }

    /**
     * Determines which incarnation of a worker has answered a poll, and learns the start time of
     * one that has never answered before.
     */
    public AnswerSource identify(WorkerState worker, PollResponse response, long sentMs) {
        mWorkers.learnStart(worker, response.startMs());
        return AnswerSource.of(worker, response.startMs(), sentMs);
    }

    /**
     * Replaces an incarnation by the next one, which gets no tasks until its own entry is read.
     *
     * @param startMs start time of the next incarnation
     */
    public WorkerState addNextIncarnation(WorkerState former, long startMs, long nowMs) {
        return mWorkers.addNext(former, startMs, nowMs);
    }

    /**
     * Stops what commands to the former incarnation may still start on the next one; called after
     * its first answer was applied.
     *
     * @return the runs that the next one neither runs nor may still start
     */
    public List<TaskRun> stopFormerRuns(
            WorkerState next, List<TaskRun> endedRuns, PollResponse response, long nowMs) {
        return mRestarted.stopFormerRuns(next, endedRuns, response, nowMs);
    }

    /** Returns unanswered starts on former incarnations that a worker must be told to stop. */
    public List<RunStatus> lateStarts(WorkerState worker, long nowMs) {
        return mRestarted.lateStarts(worker, nowMs);
    }

    /** Returns the current incarnation of a worker. */
    public Optional<WorkerState> worker(String id) {
        return mWorkers.current(id);
    }

    public Collection<WorkerState> workers() {
        return mWorkers.all();
    }

    RunTable runs() {
        return mRuns;
    }

    public ScheduleLimits limits() {
        return mLimits;
    }

    /** Sets the organisations by whose weights jobs are added from now on. */
    public void setOrganisations(Organisations organisations) {
        mEntitlements.setOrganisations(organisations);
    }

    /** Adds an accepted job, unless it is known or final. */
    public void addJob(JobProgress progress, long nowMs) {
        JobDefinition definition = progress.definition();
        boolean entitled = mEntitlements.take(definition);
        boolean isNew = mRuns.add(progress, entitled);
        Optional<Long> submittedMs = mUnstored.remove(definition.id());
        if (isNew && submittedMs.isPresent()) {
            mRuns.job(definition.id()).get().setSubmittedMs(submittedMs.get() + mWallOffsetMs);
        } else if (isNew && entitled) {
            mArrivals.recordArrival(definition, nowMs);
        }
        if (isNew) {
            // A job that is learnt late, after a gap in the journal, may have recorded starts.
            mInherited.add(progress, w -> false, nowMs);
        }
    }

    /** Records that the store didn't take a job, whose caller is expected to submit it again. */
    public void jobUnstored(UnstoredJob job, long nowMs) {
        boolean isStored = mRuns.job(job.id()).isPresent();
        if (!isStored && mUnstored.add(job, nowMs)) {
            mArrivals.recordArrival(job.service(), job.milliCores(), nowMs);
        }
    }

    UnstoredJobs unstored() {
        return mUnstored;
    }

    ArrivalRate arrivals() {
        return mArrivals;
    }

    JobEntitlements entitlements() {
        return mEntitlements;
    }

    /**
     * Adds a job that a previous owner may have worked on. Each recorded start without a recorded
     * end counts as running until its worker has been polled, its incarnation has ended or its
     * lease has expired, so that no task is started twice.
     */
    public void addInheritedJob(
            JobProgress progress, Predicate<WorkerIncarnation> isOver, long nowMs) {
        boolean entitled = mEntitlements.take(progress.definition());
        mArrivals.inherit(progress.definition(), entitled);
        if (mRuns.add(progress, entitled)) {
            mInherited.add(progress, isOver, nowMs);
        }
    }

    /**
     * Adds a job that has ended so recently that runs which a previous owner started may go on.
     * They are stopped, and hold their resources until they are over. Other jobs are ignored.
     *
     * @param nowWallMs current time in milliseconds since the epoch
     */
    public void addInheritedEndedJob(
            JobProgress progress, Predicate<WorkerIncarnation> isOver, long nowMs, long nowWallMs) {
        long endedForMs = nowWallMs - progress.endedMs();
        boolean mayRun = endedForMs <= mLimits.endedRunMs() && !progress.lastStarts().isEmpty();
        if (progress.phase().isFinal() && mayRun) {
            mRuns.addEnded(progress);
            mInherited.add(progress, isOver, nowMs);
        }
    }

    /**
     * Adds a job that has ended and of which a worker still lists a run, before that answer is
     * applied: the run is stopped, and holds its resources until it is over.
     */
    public void addListedEndedJob(JobProgress progress) {
        if (progress.phase().isFinal()) {
            mRuns.addEnded(progress);
        }
    }

    /** Returns the inherited starts of unfinished tasks that don't count as running. */
    public List<DroppedRun> takeNotInherited() {
        return mInherited.takeNotInherited();
    }

    /**
     * Returns the runs that were dropped since the last call, other than those that ended, lapsed
     * or were lost.
     */
    public List<DroppedRun> takeDropped() {
        return mRuns.takeDropped();
    }

    /** Returns the tasks that crash their workers and whose jobs were given up since last asked. */
    public List<ActiveTask> takeGivenUp() {
        return mCrashes.takeGivenUp();
    }

    /** Stops the runs of a job that the journal reports as final. */
    public void jobEnded(String id, long nowMs) {
        mRuns.job(id).ifPresent(j -> mRuns.endJob(j, "job " + j.progress().phase(), nowMs));
    }

    /** Applies a worker's answer to a poll. */
    public PollResult pollAnswered(
            WorkerState worker, PollResponse response, long sentMs, long nowMs) {
        if (worker.isOutdated(response.clockMs())) {
            return PollResult.NONE;
        }
        worker.recordAnswer(response.clockMs(), nowMs, mLimits.stopMs());
        PollResult result = applyLists(worker, response, sentMs, nowMs);
        mPaceChanges.addAll(PaceControl.adjust(worker, nowMs));
        worker.service().ifPresent(s -> stopSlowRuns(worker, s, nowMs));
        return result;
    }

    private void stopSlowRuns(WorkerState worker, String service, long nowMs) {
        for (TaskRun r : SlowWorkerDetector.find(worker, mRuns.usualRatio(service), nowMs)) {
            if (hasBetterWorker(r, nowMs)) {
                r.requestStop(SlowWorkerDetector.describe(r, nowMs), nowMs);
            }
        }
    }

    /**
     * Applies an answer that arrived after its poll had timed out. It may be seconds old, so it
     * tells nothing about the speed of the runs; an answer older than the last one is ignored.
     */
    public PollResult pollAnsweredLate(
            WorkerState worker, PollResponse response, long sentMs, long nowMs) {
        if (worker.isOutdated(response.clockMs())) {
            return PollResult.NONE;
        }
        worker.recordLateAnswer(response.clockMs(), nowMs, mLimits.stopMs());
        return applyLists(worker, response, sentMs, nowMs);
    }

    private PollResult applyLists(
            WorkerState worker, PollResponse response, long sentMs, long nowMs) {
        worker.markPolled();
        mRestarted.stopGivenUpStarts(worker, nowMs);
        PollResult result = mRuns.applyPoll(worker, response, sentMs, nowMs);
        if (result.toStore().isEmpty()) {
            worker.updateStoredEnds();
        } else {
            worker.beginStore();
        }
        return result;
    }

    /** Releases starts for sending once the journal has them; drops those no longer needed. */
    public void startsRecorded(List<TaskRun> starts) {
        for (TaskRun r : starts) {
            if (r.phase() != RunPhase.PLANNED || !r.task().runs().contains(r)) {
                continue;
            }
            if (r.task().isDone()) {
                mRuns.dropRun(r, "its task is done");
            } else if (r.task().step().job().isEnding()) {
                mRuns.dropRun(r, "its job is ending");
            } else {
                r.markRecorded();
            }
        }
    }

    /** Returns the jobs whose first task has started since the last call. */
    public List<String> takeStartedJobs() {
        return mRuns.takeStartedJobs();
    }

    /** Applies the end of a run that the journal reports. */
    public void runEndRecorded(TaskName name, RunOutcome outcome, long nowMs) {
        mRuns.recordEnd(name, outcome, nowMs);
    }

    /** Whether a worker that isn't slow has capacity for the run's task now. */
    private boolean hasBetterWorker(TaskRun run, long nowMs) {
        if (!mStoreAvailable) {
            return false;
        }
        for (WorkerState w : workersOf(run.task().service())) {
            boolean suitable = w != run.worker() && !w.isSlow(nowMs);
            if (suitable && WorkerChooser.canTakeOver(run.task(), w, nowMs)) {
                return true;
            }
        }
        return false;
    }

    /** Marks a worker that didn't answer a poll as unresponsive. */
    public void pollFailed(WorkerState worker, long nowMs) {
        worker.markUnresponsive(nowMs);
    }

    /** Queues a start again that could not be sent yet. */
    public void retryStart(TaskRun run) {
        run.setCommandDue(true);
    }

    /** Applies a worker's answer to a start command. */
    public void startAnswered(TaskRun run, CommandOutcome outcome, long nowMs) {
        mAnswers.startAnswered(run, outcome, nowMs);
    }

    /** Applies a worker's answer to a stop command. */
    public void stopAnswered(TaskRun run, CommandOutcome outcome, long nowMs) {
        CommandAnswers.stopAnswered(run, outcome, nowMs);
    }

    /** Applies the answer to an advice request, or its failure. */
    public void adviceAnswered(Decisions.AdviceRequest request, Advice advice, long nowMs) {
        if (advice.answered()) {
            mAdvice.answered(nowMs);
            request.step()
                    .recordAdvice(request.workers(), advice.tickets(), advice.validMs(), nowMs);
        } else {
            mAdvice.failed(nowMs);
        }
    }

    /**
     * Sets the time until which a previous owner, unaware of its replacement, may have renewed
     * leases.
     */
    public void renewedByOthersUntil(long renewedUntilMs) {
        mOthersRenewedUntilMs = renewedUntilMs;
    }

    /** Removes and returns the runs of unresponsive workers whose leases have certainly expired. */
    public List<TaskRun> removeExpiredRuns(long nowMs) {
        List<TaskRun> expiredRuns = new ArrayList<>();
        for (WorkerState w : mWorkers.all()) {
            long renewedMs = Math.max(w.leaseRenewedMs(), mOthersRenewedUntilMs);
            boolean expired = nowMs > renewedMs + mLimits.leaseExpiryMs();
            if (w.isUnresponsive() && expired) {
                expiredRuns.addAll(w.runs());
            }
        }
        expiredRuns.forEach(mRuns::removeRun);
        expiredRuns.forEach(r -> mRestarted.runExpired(r, nowMs));
        return expiredRuns;
    }

    /** Removes and returns unresponsive workers that are unlisted and have no runs. */
    public List<WorkerState> removeStaleWorkers() {
        List<WorkerState> stale = new ArrayList<>();
        for (WorkerState w : mWorkers.all()) {
            if (!w.registration().isListed() && w.isUnresponsive() && w.runs().isEmpty()) {
                stale.add(w);
            }
        }
        stale.forEach(mWorkers::remove);
        return stale;
    }

    /** Summarizes the load of each service, for the log. */
    public List<PoolLoad> loads(FleetConfig config, long nowMs, long nowWallMs) {
        Map<String, List<ActiveRun>> due = dueRunsByService(nowWallMs);
        BatchCapacities capacities = batchCapacities(nowWallMs);
        List<PoolLoad> loads = new ArrayList<>();
        for (ServiceConfig s : config.services()) {
            List<ActiveRun> runs = due.getOrDefault(s.name(), List.of());
            BatchCapacity capacity = capacities.of(s.name());
            loads.add(PoolLoadCalculator.of(s.name(), workersOf(s.name()), capacity, runs, nowMs));
        }
        return loads;
    }

    /**
     * Sets whether the store takes records. While it doesn't, no start is planned, and those that
     * aren't recorded yet are withdrawn: held back until the store returns, they would keep workers
     * from other jobs and pools, and be sent although their jobs may be late by then. Nor is a run
     * stopped to be started elsewhere.
     */
    public void setStoreAvailable(boolean available) {
        mStoreAvailable = available;
    }

    /** Whether the store takes records, so that tasks can be started. */
    boolean isStoreAvailable() {
        return mStoreAvailable;
    }

    /** Returns the actions to take now. */
    public Decisions decide(FleetConfig config, long nowMs, long nowWallMs) {
        Decisions out = new Decisions();
        mWallOffsetMs = nowWallMs - nowMs;
        mRuns.removeEndedJobs(nowMs);
        if (!mStoreAvailable) {
            DueCommands.withdrawPlanned(mWorkers.all(), mRuns);
        }
        mRuns.openDueRuns(latestDueMs(nowWallMs));
        mEntitlements.setOrganisations(config.organisations());
        out.paces().addAll(mPaceChanges);
        mPaceChanges.clear();
        DueCommands.collect(mWorkers.all(), mRuns, out, nowMs);
        OrganisationCaps caps = caps(config);
        config.services().forEach(s -> mCrashes.observe(s.name(), workersOf(s.name()), nowMs));
        BatchCapacities capacities = batchCapacities(nowWallMs);
        for (Map.Entry<String, List<ActiveRun>> e : dueRunsByService(nowWallMs).entrySet()) {
            List<WorkerState> workers = workersOf(e.getKey());
            PoolCapacity pool = capacities.usable(e.getKey(), workers, nowMs);
            List<ActiveRun> sorted = UrgencyOrder.sort(e.getValue(), pool, caps, nowWallMs);
            if (mStoreAvailable) {
                mPlacer.place(sorted, workers, caps, out, nowMs);
            } else {
                mPlacer.considerAdvice(sorted, workers, caps, nowMs);
            }
        }
        mAdvice.addRequest(out, nowMs);
        return out;
    }

    OrganisationCaps caps(FleetConfig config) {
        return new OrganisationCaps(config.organisations(), mRuns.usage());
    }

    /** How capacity for batch tasks is counted, by the tasks that wait and run now. */
    BatchCapacities batchCapacities(long nowWallMs) {
        mBatchCapacities.update(mRuns.jobs(), nowWallMs);
        return mBatchCapacities;
    }

    Map<String, List<ActiveRun>> dueRunsByService(long nowWallMs) {
        Map<String, List<ActiveRun>> found = new LinkedHashMap<>();
        for (ActiveJob job : mRuns.jobs()) {
            if (job.isEnding()) {
                continue;
            }
            for (ActiveRun run : job.runs()) {
                boolean due = run.dueWallMs() <= latestDueMs(nowWallMs);
                if (due && !run.isDone()) {
                    found.computeIfAbsent(job.definition().service(), s -> new ArrayList<>())
                            .add(run);
                }
            }
        }
        return found;
    }

    /** Due time of the last run that may start now. */
    private long latestDueMs(long nowWallMs) {
        return nowWallMs + mLimits.earlyMs() / 2;
    }

    List<WorkerState> workersOf(String service) {
        return mWorkers.ofService(service);
    }
}
