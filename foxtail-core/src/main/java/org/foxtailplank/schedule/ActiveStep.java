package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.WorkerIncarnation;

/** A step in one run of an active job. */
public final class ActiveStep {
    /**
     * A ticket isn't used in this fraction of its validity period before its end, which covers the
     * way of the advice to the owner and of the start to its worker.
     */
    private static final int TRANSIT_SHARE = 10;

    private final ActiveRun mRun;
    private final int mNumber;
    private final TaskStep mSpec;
    private final Map<WorkerIncarnation, WorkerAdvice> mAdvice = new HashMap<>();
    private final ObservedRunTime mRunTime = new ObservedRunTime();

    private List<ActiveTask> mTasks = List.of();
    private int mRemainingTasks;

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

    /** Tasks that aren't done and have a run. */
    int runningTasks() {
        int running = 0;
        for (ActiveTask t : mTasks) {
            running += t.runs().isEmpty() ? 0 : 1;
        }
        return running;
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

    /** Whether starts of this step need a ticket of the placement advice service. */
    boolean needsTickets() {
        return job().definition().policy().advice().isPresent();
    }

    /** What the advice service has said about this step on a worker. */
    WorkerAdvice advice(WorkerIncarnation worker) {
        return mAdvice.getOrDefault(worker, WorkerAdvice.NOT_ASKED);
    }

    Optional<String> ticket(WorkerIncarnation worker, long nowMs) {
        return Optional.of(advice(worker))
                .filter(a -> a.hasValidTicket(nowMs))
                .map(WorkerAdvice::ticket);
    }

    /**
     * Recorded starts that wait for a ticket: theirs expired before they could be sent, or the
     * worker has rejected it.
     */
    List<TaskRun> startsWithoutTicket(long nowMs) {
        List<TaskRun> starts = new ArrayList<>();
        if (!needsTickets()) {
            return starts;
        }
        for (ActiveTask t : mTasks) {
            for (TaskRun r : t.runs()) {
                boolean due = r.phase() == RunPhase.STARTING && r.isCommandDue();
                if (due && !advice(r.worker().incarnation()).hasValidTicket(nowMs)) {
                    starts.add(r);
                }
            }
        }
        return starts;
    }

    /**
     * Records the advice on these workers; it stays valid for a worker's incarnation.
     *
     * @param tickets tickets by worker ID
     * @param validMs validity period of the tickets, in milliseconds
     */
    void recordAdvice(
            List<WorkerIncarnation> asked, Map<String, String> tickets, long validMs, long nowMs) {
        long untilMs = nowMs + validMs - validMs / TRANSIT_SHARE;
        for (WorkerIncarnation worker : asked) {
            String ticket = tickets.get(worker.id());
            mAdvice.put(
                    worker,
                    ticket == null ? WorkerAdvice.DENIED : WorkerAdvice.allowed(ticket, untilMs));
        }
    }

    /** Discards the ticket that a worker has rejected, so that another one is requested. */
    void discardTicket(WorkerIncarnation worker) {
        mAdvice.remove(worker);
    }
}
