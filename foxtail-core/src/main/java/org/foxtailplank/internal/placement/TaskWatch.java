package org.foxtailplank.internal.placement;

import java.util.ArrayList;
import java.util.Optional;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.request.RequestClass;
import org.foxtailplank.state.TaskAction;

/** Follows up tasks that are not heard of: proposals, unanswered calls, leases, awaited room. */
final class TaskWatch {

    /** Time after which a start that never reached the log is decided anew. */
    static final long PROPOSAL_MS = 5_000;

    private final PlacementState mState;

    TaskWatch(PlacementState state) {
        mState = state;
    }

    void run(long nowMs) {
        for (Optional<PlacedTask> t = mState.timers().takeDue(nowMs);
                t.isPresent();
                t = mState.timers().takeDue(nowMs)) {
            PlacedTask task = t.get();
            boolean stands = task.job().placed().get(task.id().index()) == task;
            if (stands) {
                look(task, nowMs);
            }
        }
        new ArrayList<>(mState.awaitingRoom()).forEach(task -> lookForRoom(task, nowMs));
    }

    private void look(PlacedTask task, long nowMs) {
        switch (task.phase()) {
            case AWAITING_ROOM -> {}
            case PROPOSED -> lookAtProposal(task, nowMs);
            default -> lookAtLease(task, nowMs);
        }
    }

    private void lookAtProposal(PlacedTask task, long nowMs) {
        if (nowMs - task.sinceMs() >= PROPOSAL_MS) {
            giveBack(task);
        } else {
            mState.timers().at(task.sinceMs() + PROPOSAL_MS, task);
        }
    }

    /** The start never reached the log, so its attempt number was never used. */
    private void giveBack(PlacedTask task) {
        mState.displace(task);
        if (!task.job().isCancelled()) {
            task.job().again(task.id().index());
        }
        mState.poolOf(task.job()).sort(task.job());
    }

    /**
     * Guards against a lost answer and a silent worker. The same attempt is asked for again, which
     * a worker answers alike; only when the lease has lapsed, and the worker must have stopped the
     * task, may a higher attempt start elsewhere.
     */
    private void lookAtLease(PlacedTask task, long nowMs) {
        long lapses = task.heardMs() + mState.settings().lease().toMillis();
        long patience = mState.settings().answerPatience().toMillis();
        if (nowMs >= lapses) {
            mState.outbox().lapsed(task);
            mState.timers().at(nowMs + PROPOSAL_MS, task);
            return;
        }
        if (task.phase().runs()) {
            mState.timers().at(lapses, task);
            return;
        }
        if (nowMs - task.sinceMs() >= patience) {
            mState.outbox().ask(task, task.asked(), true, "no answer yet");
            task.askedAgain(nowMs);
        }
        mState.timers().at(Math.min(lapses, task.sinceMs() + patience), task);
    }

    private void lookForRoom(PlacedTask task, long nowMs) {
        if (!task.worker().isOpen()) {
            giveBack(task);
            return;
        }
        boolean urgent = task.job().spec().urgency() == RequestClass.URGENT;
        Resources free = task.worker().free();
        // Tasks that stay may have grown meanwhile. Processors are shared, so urgent work goes in
        // beside them; memory is not.
        boolean room =
                urgent ? Resources.NONE.fitsButProcessors(free) : Resources.NONE.fitsIn(free);
        if (room) {
            mState.awaitingRoom().remove(task);
            task.enter(TaskPhase.PROPOSED, TaskAction.START, nowMs);
            mState.outbox().ask(task, TaskAction.START, false, "batch work has left");
            mState.timers().at(nowMs + PROPOSAL_MS, task);
            return;
        }
        long waited = nowMs - task.sinceMs();
        if (urgent && waited >= mState.settings().checkpointPatience().toMillis()) {
            stopCheckpointing(task, nowMs);
        }
        // The tasks that stay have grown into the place: another worker may do better.
        if (waited >= 2 * mState.settings().checkpointPatience().toMillis() && !isLeft(task)) {
            giveBack(task);
        }
    }

    private static boolean isLeft(PlacedTask task) {
        return task.worker().tasks().stream().anyMatch(t -> t.phase() == TaskPhase.LEAVING);
    }

    private void stopCheckpointing(PlacedTask task, long nowMs) {
        String why = "its checkpoint takes too long for job " + task.job().id();
        for (PlacedTask t : task.worker().tasks()) {
            if (t.phase() == TaskPhase.LEAVING && t.asked() == TaskAction.CHECKPOINT) {
                t.enter(TaskPhase.LEAVING, TaskAction.STOP, nowMs);
                mState.outbox().ask(t, TaskAction.STOP, false, why);
            }
        }
    }
}
