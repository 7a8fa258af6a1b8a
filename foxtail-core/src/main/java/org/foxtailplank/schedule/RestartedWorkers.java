package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.job.RunStatus;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.port.WorkerClient.PollResponse;

/**
 * Keeps start commands that were sent to a worker's former incarnation from starting a task twice.
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

    private record UnansweredStart(WorkerState worker, TaskName task, int attempt, long atMs) {}

    RestartedWorkers(RunTable runs) {
        mRuns = runs;
    }

    /** Records that a start command went unanswered. */
    void startUnanswered(TaskRun run, long nowMs) {
        mUnanswered.removeIf(s -> nowMs - s.atMs() > MAX_START_DELAY_MS);
        mUnanswered.add(new UnansweredStart(run.worker(), run.task().name(), run.attempt(), nowMs));
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
                mRuns.addStoppingRun(r.task(), next, r.attempt(), nowMs);
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
