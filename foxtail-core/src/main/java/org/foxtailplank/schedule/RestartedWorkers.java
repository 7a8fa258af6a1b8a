package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.job.RunStatus;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.port.WorkerClient.PollResponse;

/**
 * Keeps start commands that are executed late from starting a task twice: those that were sent to a
 * worker's former incarnation, and those whose runs were given up when its lease had expired.
 *
 * <p>Commands name the worker only by its ID, so that the next incarnation executes them as well,
 * also seconds later. A stop prevents that: the worker rejects a start of a run that it was told to
 * stop.
 */
final class RestartedWorkers {
    /** A start without an answer may be executed up to this time later, in milliseconds. */
    private static final long MAX_START_DELAY_MS = 15_000;

    private final RunTable mRuns;
    private final List<UnansweredStart> mUnanswered = new ArrayList<>();

    /** Starts whose runs were given up, as the leases of their workers had expired. */
    private final List<UnansweredStart> mGivenUp = new ArrayList<>();

    private record UnansweredStart(WorkerState worker, TaskName task, int attempt, long atMs) {}

    RestartedWorkers(RunTable runs) {
        mRuns = runs;
    }

    /** Records that a start command went unanswered. */
    void startUnanswered(TaskRun run, long nowMs) {
        mUnanswered.removeIf(s -> nowMs - s.atMs() > MAX_START_DELAY_MS);
        mUnanswered.add(new UnansweredStart(run.worker(), run.task().name(), run.attempt(), nowMs));
    }

    /** Records that a run was given up, as the lease of its silent worker had expired. */
    void runExpired(TaskRun run, long nowMs) {
        mGivenUp.removeIf(s -> nowMs - s.atMs() > MAX_START_DELAY_MS);
        if (run.isUncertain() && !run.isListed()) {
            mGivenUp.add(
                    new UnansweredStart(run.worker(), run.task().name(), run.attempt(), nowMs));
        }
    }

    /**
     * Stops starts on a worker that answers again, whose runs were given up: it may still execute
     * them once its lease is renewed, so that this waits for the stops.
     */
    void stopGivenUpStarts(WorkerState worker, long nowMs) {
        for (UnansweredStart s : List.copyOf(mGivenUp)) {
            if (!s.worker().id().equals(worker.id())) {
                continue;
            }
            mGivenUp.remove(s);
            if (nowMs - s.atMs() <= MAX_START_DELAY_MS
                    && worker.run(s.task(), s.attempt()).isEmpty()) {
                mRuns.job(s.task().job())
                        .flatMap(j -> j.task(s.task()))
                        .ifPresent(t -> addStoppingRun(t, worker, s.attempt(), nowMs));
            }
        }
    }

    private void addStoppingRun(ActiveTask task, WorkerState worker, int attempt, long nowMs) {
        mRuns.addStoppingRun(task, worker, attempt, nowMs);
        worker.leaseHold().begin(nowMs + MAX_START_DELAY_MS);
    }

    /**
     * Stops runs of the former incarnation on the next one, where their starts may still be
     * executed. A task is not started again before its stop has been confirmed.
     *
     * @param endedRuns runs that ended with the former incarnation
     * @param response the first answer of the next one, which was applied before
     * @return those that the next one neither runs nor may still start
     */
    List<TaskRun> stopFormerRuns(
            WorkerState next, List<TaskRun> endedRuns, PollResponse response, long nowMs) {
        List<TaskRun> over = new ArrayList<>();
        for (TaskRun r : endedRuns) {
            if (mayStart(r) && !isReported(r.task().name(), r.attempt(), next, response)) {
                addStoppingRun(r.task(), next, r.attempt(), nowMs);
            }
            if (next.run(r.task().name(), r.attempt()).isEmpty()) {
                over.add(r);
            }
        }
        return over;
    }

    /**
     * Returns recent unanswered starts on former incarnations of a worker, other than those that
     * are being stopped on this one already.
     */
    List<RunStatus> lateStarts(WorkerState worker, long nowMs) {
        List<RunStatus> late = new ArrayList<>();
        for (UnansweredStart s : mUnanswered) {
            boolean former = s.worker() != worker && s.worker().id().equals(worker.id());
            boolean tracked = worker.run(s.task(), s.attempt()).isPresent();
            if (former && !tracked && nowMs - s.atMs() <= MAX_START_DELAY_MS) {
                late.add(new RunStatus(s.task(), s.attempt(), "", 0, 0));
            }
        }
        return late;
    }

    /** Whether a start command may have reached the next incarnation, or may still do so. */
    private static boolean mayStart(TaskRun run) {
        return run.firstSentMs() >= 0 && (run.isUncertain() || !run.isListed());
    }

    private static boolean isReported(
            TaskName task, int attempt, WorkerState next, PollResponse response) {
        return next.run(task, attempt).isPresent()
                || response.ended().stream()
                        .anyMatch(e -> e.task().equals(task) && e.attempt() == attempt);
    }
}
