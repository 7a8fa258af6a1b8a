package org.foxtailplank.platform;

/** What a worker may be asked to do with a task that it has. */
public enum TaskRequest {
    /** Write a checkpoint and end. */
    CHECKPOINT,
    /** Run at reduced speed. */
    THROTTLE,
    /** Stop at once. */
    STOP
}
