package org.foxtailplank.platform;

/** A worker's answer to what it was asked. */
public enum TaskReply {
    /** It does so. */
    ACCEPTED,
    /** It knows another attempt of the task, or a higher one. */
    OTHER_ATTEMPT,
    /** It doesn't know the task. */
    UNKNOWN_TASK,
    /** There is no such worker, or it is not powered on. */
    UNKNOWN_WORKER
}
