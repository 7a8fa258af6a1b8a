package org.foxtailplank.state;

/** How a task or an action on it ended. */
public enum TaskOutcome {
    /** The worker runs the task. */
    RUNNING,
    /** The task completed. */
    SUCCEEDED,
    /** The worker could not run the task. */
    FAILED,
    /** The lease expired. */
    LOST,
    /** The task was stopped or checkpointed. */
    STOPPED;

    /** Returns whether the attempt has ended. */
    public boolean isEnded() {
        return this != RUNNING;
    }
}
