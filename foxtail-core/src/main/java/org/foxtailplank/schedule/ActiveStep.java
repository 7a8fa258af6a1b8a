package org.foxtailplank.schedule;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.WorkerIncarnation;

/** A step in one run of an active job. */
public final class ActiveStep {
    private final ActiveRun mRun;
    private final int mNumber;
    private final TaskStep mSpec;
    private final Map<WorkerIncarnation, Ticket> mTickets = new HashMap<>();
    private final ObservedRunTime mRunTime = new ObservedRunTime();
    private final Set<WorkerIncarnation> mAskedWorkers = new HashSet<>();

    private List<ActiveTask> mTasks = List.of();
    private int mRemainingTasks;
    private boolean mAdvicePending;

    private record Ticket(String text, long untilMs) {}

    ActiveStep(ActiveRun run, int number, TaskStep spec) {
        mRun = run;
        mNumber = number;
        mSpec = spec;
    }

    void setTasks(List<ActiveTask> tasks) {
        mTasks = tasks;
        mRemainingTasks = (int) tasks.stream().filter(s -> !s.isDone()).count();
    }

    ActiveRun run() {
        return mRun;
    }

    public ActiveJob job() {
        return mRun.job();
    }

    public int number() {
        return mNumber;
    }

    TaskStep spec() {
        return mSpec;
    }

    List<ActiveTask> tasks() {
        return mTasks;
    }

    ObservedRunTime runTime() {
        return mRunTime;
    }

    /** Expected run time of one task, in milliseconds. */
    long expectedMs() {
        return mRunTime.expectedMs(mSpec.estimateMs());
    }

    /** Expected time until all tasks are done if none has to wait, in milliseconds. */
    long remainingMs() {
        double longest = 0;
        for (ActiveTask task : mTasks) {
            longest = Math.max(longest, task.remainingShare());
        }
        return (long) (longest * expectedMs());
    }

    /** Tasks that are not done. */
    int remainingTasks() {
        return mRemainingTasks;
    }

    void recordTaskDone() {
        mRemainingTasks--;
    }

    /** Tasks without a run that certainly serves. */
    int unavailableTasks() {
        int unavailable = 0;
        for (ActiveTask s : mTasks) {
            unavailable += s.isAvailable() ? 0 : 1;
        }
        return unavailable;
    }

    /** Runs of this step on a worker, including those being stopped. */
    int runsOn(WorkerState worker) {
        int count = 0;
        for (TaskRun r : worker.runs()) {
            count += r.task().step() == this ? 1 : 0;
        }
        return count;
    }

    Optional<String> ticket(WorkerIncarnation worker, long nowMs) {
        return Optional.ofNullable(mTickets.get(worker))
                .filter(t -> t.untilMs() > nowMs)
                .map(Ticket::text);
    }

    /** Whether the advice service has not been asked about the worker or has allowed it. */
    boolean mayRequestAdvice(WorkerIncarnation worker) {
        return !mAskedWorkers.contains(worker) || mTickets.containsKey(worker);
    }

    boolean isAdvicePending() {
        return mAdvicePending;
    }

    void markAdvicePending() {
        mAdvicePending = true;
    }

    /**
     * Records the advice on these workers; it stays valid for a worker's incarnation.
     *
     * @param tickets tickets by worker ID
     */
    void recordAdvice(List<WorkerIncarnation> asked, Map<String, String> tickets, long untilMs) {
        mAdvicePending = false;
        mAskedWorkers.addAll(asked);
        for (WorkerIncarnation worker : asked) {
            String text = tickets.get(worker.id());
            if (text != null) {
                mTickets.put(worker, new Ticket(text, untilMs));
            }
        }
    }

    /** Allows the request to be repeated after it went unanswered. */
    void recordAdviceFailure() {
        mAdvicePending = false;
    }

    void removeTicket(WorkerIncarnation worker) {
        mTickets.remove(worker);
    }
}
