package org.foxtailplank.internal.placement;

/** Phases of a placed task. */
enum TaskPhase {
    /** Waits until preempted tasks have left its worker. */
    AWAITING_CAPACITY,
    /** Its start is decided and not yet in the log. */
    PROPOSED,
    /** Its start is in the log and not yet confirmed. */
    STARTING,
    /** The task runs. */
    RUNNING,
    /** The task runs at reduced speed. */
    THROTTLED,
    /** A checkpoint or stop was requested. */
    LEAVING;

    /** Returns whether the start is not yet confirmed. */
    boolean isStarting() {
        return this == PROPOSED || this == STARTING;
    }

    boolean runs() {
        return this == RUNNING || this == THROTTLED;
    }
}
