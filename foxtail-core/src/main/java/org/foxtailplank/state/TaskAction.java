package org.foxtailplank.state;

/** What a worker is asked to do with a task. */
public enum TaskAction {
    /** Start it under a lease. */
    START,
    /** Write a checkpoint and free its place. */
    CHECKPOINT,
    /** Run it at reduced speed. */
    THROTTLE,
    /** Stop it. */
    STOP
}
