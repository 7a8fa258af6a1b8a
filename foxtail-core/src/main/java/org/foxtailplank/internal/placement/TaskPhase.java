package org.foxtailplank.internal.placement;

/** Where a placed task is, as the placer knows. */
enum TaskPhase {
    /** Its place is kept until others have left it. */
    AWAITING_ROOM,
    /** Its start was decided and is not in the log yet. */
    PROPOSED,
    /** Its start is in the log and not confirmed. */
    STARTING,
    /** It runs. */
    RUNNING,
    /** It runs at reduced speed. */
    THROTTLED,
    /** It was asked to checkpoint or stop. */
    LEAVING;

    /** Whether it is not known yet if the worker can run it. */
    boolean isStarting() {
        return this == PROPOSED || this == STARTING;
    }

    boolean runs() {
        return this == RUNNING || this == THROTTLED;
    }
}
