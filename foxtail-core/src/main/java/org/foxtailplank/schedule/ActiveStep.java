package org.foxtailplank.schedule;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.job.TaskStep;

/** A step in one run of an active job's steps. */
public final class ActiveStep {
    private final ActiveRun mRun;
    private final int mNumber;
    private final TaskStep mSpec;
    private final Map<String, Ticket> mTickets = new HashMap<>();
    private final Set<String> mAsked = new HashSet<>();

    private List<TaskSlot> mSlots = List.of();
    private int mLeft;
    private boolean mAsking;

    private record Ticket(String text, long untilMs) {}

    ActiveStep(ActiveRun run, int number, TaskStep spec) {
        mRun = run;
        mNumber = number;
        mSpec = spec;
    }

    void slots(List<TaskSlot> slots) {
        mSlots = slots;
        mLeft = (int) slots.stream().filter(s -> !s.isDone()).count();
    }

    ActiveRun run() {
        return mRun;
    }

    /** The job that it belongs to. */
    public ActiveJob job() {
        return mRun.job();
    }

    public int number() {
        return mNumber;
    }

    TaskStep spec() {
        return mSpec;
    }

    List<TaskSlot> slots() {
        return mSlots;
    }

    /** Tasks that have not ended done. */
    int left() {
        return mLeft;
    }

    void oneDone() {
        mLeft--;
    }

    /** Tasks that no run of is at work, among those that have to be. */
    int away() {
        int away = 0;
        for (TaskSlot s : mSlots) {
            away += s.isAtWork() ? 0 : 1;
        }
        return away;
    }

    /** Runs of this step on a worker, those that are being stopped too. */
    int on(WorkerState worker) {
        int count = 0;
        for (TaskRun r : worker.runs()) {
            count += r.slot().step() == this ? 1 : 0;
        }
        return count;
    }

    Optional<String> ticket(String worker, long nowMs) {
        return Optional.ofNullable(mTickets.get(worker))
                .filter(t -> t.untilMs() > nowMs)
                .map(Ticket::text);
    }

    /** Whether the advice may allow the worker: it was not asked about it, or has allowed it. */
    boolean mayAsk(String worker) {
        return !mAsked.contains(worker) || mTickets.containsKey(worker);
    }

    boolean isAsking() {
        return mAsking;
    }

    void asking() {
        mAsking = true;
    }

    /** The answer for these workers; what it allows doesn't change while a worker lives. */
    void advised(List<String> asked, Map<String, String> tickets, long untilMs) {
        mAsking = false;
        mAsked.addAll(asked);
        tickets.forEach((worker, text) -> mTickets.put(worker, new Ticket(text, untilMs)));
    }

    /** No answer came; it may be asked again. */
    void notAdvised() {
        mAsking = false;
    }

    void ticketRefused(String worker) {
        mTickets.remove(worker);
    }
}
