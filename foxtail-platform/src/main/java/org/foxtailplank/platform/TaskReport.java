package org.foxtailplank.platform;

/**
 * A task as its worker reports it.
 *
 * @param task the task
 * @param attempt attempt number
 * @param status what became of it
 * @param processors measured use of processor cores; lags
 * @param memoryBytes measured use of memory; lags
 */
public record TaskReport(
        TaskId task, long attempt, Status status, double processors, long memoryBytes) {

    /** What became of a task. */
    public enum Status {
        STARTING,
        RUNNING,
        SUCCEEDED,
        FAILED,
        STOPPED,
        /** Its lease lapsed or its worker went away. */
        LOST
    }
}
