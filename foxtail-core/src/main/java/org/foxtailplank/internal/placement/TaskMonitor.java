package org.foxtailplank.internal.placement;

import java.util.ArrayList;
import java.util.Optional;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.request.RequestClass;
import org.foxtailplank.state.TaskAction;

/** Checks timeouts of placed tasks: proposals, unanswered calls, leases and awaited capacity. */
final class TaskMonitor {

    /** Time after which a start that did not reach the log is decided again. */
    static final long PROPOSAL_TIMEOUT_MS = 5_000;

    private final PlacementState mState;

    TaskMonitor(PlacementState state) {
        mState = state;
    }

    void run(long nowMs) {
        for (Optional<PlacedTask> t = mState.timers().pollDue(nowMs);
                t.isPresent();
                t = mState.timers().pollDue(nowMs)) {
            PlacedTask task = t.get();
            boolean current = task.job().placed().get(task.id().index()) == task;
            if (current) {
                check(task, nowMs);
            }
        }
        new ArrayList<>(mState.awaitingCapacity()).forEach(task -> checkCapacity(task, nowMs));
    }

    private void check(PlacedTask task, long nowMs) {
        switch (task.phase()) {
            case AWAITING_CAPACITY -> {}
            case PROPOSED -> checkProposal(task, nowMs);
            default -> checkLease(task, nowMs);
        }
    }

    private void checkProposal(PlacedTask task, long nowMs) {
        if (nowMs - task.phaseSinceMs() >= PROPOSAL_TIMEOUT_MS) {
            requeue(task);
        } else {
            mState.timers().schedule(task.phaseSinceMs() + PROPOSAL_TIMEOUT_MS, task);
        }
    }

    /**
     * Requeues a task whose start never reached the log, so that its attempt number is still
     * unused.
     */
    private void requeue(PlacedTask task) {
        mState.displace(task);
        if (!task.job().isCancelled()) {
            task.job().requeue(task.id().index());
        }
        mState.poolOf(task.job()).updateQueue(task.job());
    }

    /**
     * Guards against a lost answer and a silent worker. The same attempt is requested again, which
     * is idempotent. A later attempt may start elsewhere only after the lease has expired, when the
     * worker must have stopped the task.
     */
    private void checkLease(PlacedTask task, long nowMs) {
        long expiresMs = task.lastHeartbeatMs() + mState.settings().lease().toMillis();
        long timeoutMs = mState.settings().answerTimeout().toMillis();
        if (nowMs >= expiresMs) {
            mState.outbox().addLapsed(task);
            mState.timers().schedule(nowMs + PROPOSAL_TIMEOUT_MS, task);
            return;
        }
        if (task.phase().runs()) {
            mState.timers().schedule(expiresMs, task);
            return;
        }
        if (nowMs - task.phaseSinceMs() >= timeoutMs) {
            mState.outbox().add(task, task.lastAction(), true, "no answer yet");
            task.recordRetry(nowMs);
        }
        mState.timers().schedule(Math.min(expiresMs, task.phaseSinceMs() + timeoutMs), task);
    }

    private void checkCapacity(PlacedTask task, long nowMs) {
        if (!task.worker().isOpen()) {
            requeue(task);
            return;
        }
        boolean urgent = task.job().spec().urgency() == RequestClass.URGENT;
        Resources free = task.worker().free();
        // Remaining tasks may use more by now. Urgent work may start beside them if only processors
        // are short, because processors are shared; memory is not.
        boolean fits =
                urgent ? Resources.NONE.fitsButProcessors(free) : Resources.NONE.fitsIn(free);
        if (fits) {
            mState.awaitingCapacity().remove(task);
            task.transitionTo(TaskPhase.PROPOSED, TaskAction.START, nowMs);
            mState.outbox().add(task, TaskAction.START, false, "preempted batch work has left");
            mState.timers().schedule(nowMs + PROPOSAL_TIMEOUT_MS, task);
            return;
        }
        long waited = nowMs - task.phaseSinceMs();
        if (urgent && waited >= mState.settings().checkpointTimeout().toMillis()) {
            stopOverdueCheckpoints(task, nowMs);
        }
        // Remaining tasks use the capacity that was to be freed: try another worker.
        if (waited >= 2 * mState.settings().checkpointTimeout().toMillis()
                && !hasLeavingTask(task)) {
            requeue(task);
        }
    }

    private static boolean hasLeavingTask(PlacedTask task) {
        return task.worker().tasks().stream().anyMatch(t -> t.phase() == TaskPhase.LEAVING);
    }

    private void stopOverdueCheckpoints(PlacedTask task, long nowMs) {
        String why = "its checkpoint takes too long for job " + task.job().id();
        for (PlacedTask t : task.worker().tasks()) {
            if (t.phase() == TaskPhase.LEAVING && t.lastAction() == TaskAction.CHECKPOINT) {
                t.transitionTo(TaskPhase.LEAVING, TaskAction.STOP, nowMs);
                mState.outbox().add(t, TaskAction.STOP, false, why);
            }
        }
    }
}
