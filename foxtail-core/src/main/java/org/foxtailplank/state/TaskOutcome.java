package org.foxtailplank.state;

/** How a task or an action on it ended. */
public enum TaskOutcome {
    /** The worker runs it. */
    RUNNING,
    /** It is done. */
    SUCCEEDED,
    /** The worker could not run it. */
    FAILED,
    /** Its lease lapsed. */
    LOST,
    /** It was stopped or checkpointed. */
    STOPPED;

    /** Whether the attempt is over. */
    public boolean isEnded() {
        return this != RUNNING;
    }
}
