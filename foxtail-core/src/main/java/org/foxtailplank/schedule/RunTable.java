package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.JournalRecord.StartedRun;
import org.foxtailplank.job.RunEnd;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.RunStatus;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.port.WorkerClient.PollResponse;

/** Tracks active jobs and the runs of their tasks, and applies the workers' reports. */
final class RunTable {
    /** Most ends in one answer; if it is full, a missing run may have ended in a later one. */
    private static final int MAX_ENDS_PER_POLL = 500;

    private final RunTimeRatios mRunTimeRatios = new RunTimeRatios();
    private final Map<String, ActiveJob> mJobs = new LinkedHashMap<>();
    private final OrganisationUsage mUsage = new OrganisationUsage();
    private final Map<TaskName, Set<Integer>> mFailures = new HashMap<>();
    private final List<String> mStartedJobs = new ArrayList<>();
    private final DroppedRuns mDropped = new DroppedRuns();

    Optional<ActiveJob> job(String id) {
        return Optional.ofNullable(mJobs.get(id));
    }

    Collection<ActiveJob> jobs() {
        return mJobs.values();
    }

    /**
     * Adds a job unless it is known or final; returns whether it was added.
     *
     * @param entitled whether it is within the rate that its organisation is entitled to
     */
    boolean add(JobProgress progress, boolean entitled) {
        boolean isNew =
                !progress.phase().isFinal() && !mJobs.containsKey(progress.definition().id());
        if (isNew) {
            mJobs.put(progress.definition().id(), new ActiveJob(progress, entitled));
        }
        return isNew;
    }

    /** Adds a job that has ended but may have runs, which are stopped; see {@link #adopt}. */
    void addEnded(JobProgress progress) {
        mJobs.computeIfAbsent(progress.definition().id(), id -> new ActiveJob(progress, false));
    }

    /**
     * Adds a run that a previous owner recorded and that may still be running; returns whether it
     * was added.
     */
    boolean inherit(StartedRun start, WorkerState worker, long nowMs) {
        Optional<ActiveTask> task = job(start.task().job()).flatMap(j -> j.task(start.task()));
        boolean isNew = task.isPresent() && worker.run(start.task(), start.attempt()).isEmpty();
        if (isNew) {
            TaskRun run = new TaskRun(task.get(), worker, start.attempt(), nowMs);
            run.markInherited(nowMs);
            addRun(run);
        }
        return isNew;
    }

    /** Returns the next attempt number of a task; numbers increase across owners. */
    int nextAttempt(ActiveTask task) {
        int attempt = task.lastAttempt() + 1;
        task.recordAttempt(attempt);
        return attempt;
    }

    /** Returns the next attempt number of a gang, which all of its members share. */
    int nextAttempt(ActiveStep gang) {
        int last = 0;
        for (ActiveTask s : gang.tasks()) {
            last = Math.max(last, s.lastAttempt());
        }
        for (ActiveTask s : gang.tasks()) {
            s.recordAttempt(last + 1);
        }
        return last + 1;
    }

    /** Applies an end that the journal reports, whichever owner recorded it. */
    void recordEnd(TaskName name, RunOutcome outcome, long nowMs) {
        Optional<ActiveTask> task = job(name.job()).flatMap(j -> j.task(name));
        if (outcome == RunOutcome.DONE && task.isPresent()) {
            markTaskOrGangDone(task.get(), nowMs);
        }
    }

    /** Adds a run that may start on a worker although it isn't wanted there, and stops it. */
    void addStoppingRun(ActiveTask task, WorkerState worker, int attempt, long nowMs) {
        TaskRun run = new TaskRun(task, worker, attempt, nowMs);
        run.stopLateStart(nowMs);
        addRun(run);
    }

    void addRun(TaskRun run) {
        run.task().runs().add(run);
        run.worker().add(run);
        mUsage.add(run);
    }

    void removeRun(TaskRun run) {
        if (run.task().runs().remove(run)) {
            mUsage.remove(run);
        }
        run.worker().remove(run);
    }

    /** Removes a run that can't have begun; the reason is kept for the log. */
    void dropRun(TaskRun run, String why) {
        if (run.task().runs().contains(run)) {
            mDropped.add(DroppedRun.of(run, why));
        }
        removeRun(run);
    }

    /** Returns the runs that were dropped since the last call. */
    List<DroppedRun> takeDropped() {
        return mDropped.take();
    }

    OrganisationUsage usage() {
        return mUsage;
    }

    /** Stops all runs of a job and prevents further starts. */
    void endJob(ActiveJob job, String reason, long nowMs) {
        job.markEnding();
        for (ActiveRun run : job.runs()) {
            for (ActiveStep step : run.steps()) {
                for (ActiveTask task : step.tasks()) {
                    stopRuns(task, reason, nowMs);
                }
            }
        }
    }

    static void stopRuns(ActiveTask task, String reason, long nowMs) {
        for (TaskRun r : task.runs()) {
            boolean active = r.phase() == RunPhase.STARTING || r.phase() == RunPhase.RUNNING;
            if (active) {
                r.requestStop(reason, nowMs);
            }
        }
    }

    /**
     * Removes ended jobs that have no runs left, and stops the runs of jobs that the journal
     * reports as ended, whichever record ended them.
     */
    void removeEndedJobs(long nowMs) {
        for (ActiveJob job : mJobs.values()) {
            if (job.isEnding() && !job.isMarkedEnding()) {
                endJob(job, "job " + job.progress().phase(), nowMs);
            }
        }
        mJobs.values().removeIf(j -> j.isEnding() && hasNoRuns(j));
    }

    private static boolean hasNoRuns(ActiveJob job) {
        return job.runs().stream().noneMatch(ActiveRun::hasTaskRuns);
    }

    /**
     * Opens the runs of the jobs' steps that are due by a time, in milliseconds since the epoch.
     */
    void openDueRuns(long nowWallMs) {
        for (ActiveJob job : mJobs.values()) {
            if (!job.isEnding()) {
                job.updateOpenRuns(nowWallMs);
            }
        }
    }

    /** Applies a worker's answer to a poll that was sent at {@code sentMs}. */
    PollResult applyPoll(WorkerState worker, PollResponse response, long sentMs, long nowMs) {
        List<RunEnd> toStore = new ArrayList<>();
        long lastSequence = 0;
        for (RunEnd end : response.ended()) {
            lastSequence = Math.max(lastSequence, end.sequence());
            if (end.sequence() > worker.seenEnds()) {
                handleEnd(worker, end, nowMs);
                if (end.outcome().counts()) {
                    toStore.add(end);
                }
            }
        }
        worker.setSeenEnds(lastSequence);
        Set<TaskRun> listed = new HashSet<>();
        List<RunStatus> orphans = new ArrayList<>();
        for (RunStatus status : response.running()) {
            updateRun(worker, status, response.clockMs(), nowMs)
                    .ifPresentOrElse(listed::add, () -> orphans.add(status));
        }
        boolean allEnds = response.ended().size() < MAX_ENDS_PER_POLL;
        List<TaskRun> lost = allEnds ? findLostRuns(worker, listed, sentMs) : List.of();
        lost.forEach(this::removeRun);
        return new PollResult(toStore, lost, orphans);
    }

    /** Notes that a worker confirmed a run of the job. */
    void recordJobStarted(ActiveJob job) {
        if (job.markStarted()) {
            mStartedJobs.add(job.id());
        }
    }

    /** Returns the jobs that have started since the last call. */
    List<String> takeStartedJobs() {
        List<String> started = List.copyOf(mStartedJobs);
        mStartedJobs.clear();
        return started;
    }

    private Optional<TaskRun> updateRun(
            WorkerState worker, RunStatus status, long clockMs, long nowMs) {
        Optional<TaskRun> known = worker.run(status.task(), status.attempt());
        if (known.isPresent()) {
            known.get().update(status, clockMs, nowMs);
            recordJobStarted(known.get().task().step().job());
            return known;
        }
        Optional<ActiveTask> task = job(status.task().job()).flatMap(j -> j.task(status.task()));
        if (task.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(adopt(task.get(), worker, status, clockMs, nowMs));
    }

    /** Adds a run started by a previous owner; stops it if the task doesn't need it. */
    private TaskRun adopt(
            ActiveTask task, WorkerState worker, RunStatus status, long clockMs, long nowMs) {
        boolean needed = task.isWaiting() && !task.step().job().isEnding();
        TaskRun run = new TaskRun(task, worker, status.attempt(), nowMs);
        task.recordAttempt(status.attempt());
        addRun(run);
        run.markInherited(nowMs);
        run.update(status, clockMs, nowMs);
        recordJobStarted(task.step().job());
        if (!needed) {
            run.requestStop("the task needs no further run", nowMs);
        }
        return run;
    }

    /**
     * Finds runs that were confirmed, or told to stop, before the poll was sent and that the worker
     * lists neither as running nor as ended. A run of an earlier owner counts as confirmed: the
     * worker rejects a start of that owner once it has answered a poll of this one.
     */
    private static List<TaskRun> findLostRuns(
            WorkerState worker, Set<TaskRun> listed, long sentMs) {
        List<TaskRun> lost = new ArrayList<>();
        for (TaskRun run : worker.runs()) {
            boolean confirmed = run.confirmedMs() >= 0 && run.confirmedMs() < sentMs;
            if ((confirmed || run.isInherited()) && !listed.contains(run)) {
                lost.add(run);
            }
        }
        return lost;
    }

    private void handleEnd(WorkerState worker, RunEnd end, long nowMs) {
        Optional<ActiveJob> job = job(end.task().job());
        Optional<ActiveTask> found = job.flatMap(j -> j.task(end.task()));
        if (found.isEmpty()) {
            return;
        }
        ActiveTask task = found.get();
        task.recordAttempt(end.attempt());
        recordJobStarted(task.step().job());
        Optional<TaskRun> run = worker.run(end.task(), end.attempt());
        run.ifPresent(this::removeRun);
        if (end.outcome() == RunOutcome.DONE) {
            run.ifPresent(r -> recordRunTime(r, nowMs));
        }
        if (!end.checkpoint().isEmpty()) {
            task.setCheckpoint(end.checkpoint());
        }
        if (end.outcome() == RunOutcome.DONE) {
            task.accountable().clearCrashes();
            handleDone(task, worker, nowMs);
        } else if (end.outcome() == RunOutcome.FAILED) {
            task.accountable().clearCrashes();
            handleFailure(task, worker, end, nowMs);
        }
    }

    private void recordRunTime(TaskRun run, long nowMs) {
        double elapsedMs = nowMs - run.firstSeenMs();
        double ratio = elapsedMs / Math.max(1, run.task().spec().estimateMs());
        if (run.showsRunTime()) {
            run.task().step().runTime().recordEnd(elapsedMs);
        }
        mRunTimeRatios.recordRun(run.task().step().job().definition().service(), ratio);
    }

    /** Typical ratio of actual to estimated run time in a service. */
    double usualRatio(String service) {
        return mRunTimeRatios.ratio(service);
    }

    private void handleDone(ActiveTask task, WorkerState worker, long nowMs) {
        worker.health().recordSuccess();
        markTaskOrGangDone(task, nowMs);
    }

    private void markTaskOrGangDone(ActiveTask task, long nowMs) {
        if (task.spec().mode().standing()) {
            return;
        }
        if (!task.spec().placement().gang()) {
            markDone(task, nowMs);
            return;
        }
        // The members of a gang end together, so one successful end completes all of them.
        for (ActiveTask member : task.step().tasks()) {
            markDone(member, nowMs);
        }
    }

    private void markDone(ActiveTask task, long nowMs) {
        if (task.isDone()) {
            return;
        }
        task.markDone();
        mFailures.remove(task.name());
        task.step().recordTaskDone();
        stopRuns(task, "another run completed the task", nowMs);
    }

    private void handleFailure(ActiveTask task, WorkerState worker, RunEnd end, long nowMs) {
        ActiveJob job = task.step().job();
        worker.health().recordFailure(job.id(), nowMs);
        task.failedWorkers().add(worker.incarnation());
        if (task.spec().mode().standing()) {
            return;
        }
        // A stored end may be reported again to a new owner. Counting distinct attempt numbers
        // keeps it from counting twice.
        TaskName counted = job.progress().failureTask(end.task());
        Set<Integer> attempts = mFailures.computeIfAbsent(counted, t -> new HashSet<>());
        attempts.addAll(job.progress().failedAttempts(counted));
        attempts.add(end.attempt());
        if (attempts.size() >= job.definition().policy().maxAttempts()) {
            endJob(job, "a task reached its maximum number of attempts", nowMs);
        }
    }
}
