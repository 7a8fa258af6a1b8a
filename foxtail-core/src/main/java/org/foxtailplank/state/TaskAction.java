package org.foxtailplank.state;

/** Actions on a task that a worker executes. */
public enum TaskAction {
    /** Start it under a lease. */
    START,
    /** Write a checkpoint and release the task's resources. */
    CHECKPOINT,
    /** Run it at reduced speed. */
    THROTTLE,
    /** Stop it. */
    STOP
}
