package org.foxtailplank.job;

/**
 * One incarnation of a worker: a worker that starts again under its ID has another start time.
 *
 * @param id ID of the worker
 * @param startMs when it started by its own clock, in milliseconds since the epoch; 0 if unknown
 */
public record WorkerIncarnation(String id, long startMs) {
    /** Start time of workers that don't report it, and in records that don't name it. */
    public static final long UNKNOWN_START_MS = 0;

    public WorkerIncarnation {
        if (startMs < 0) {
            throw new IllegalArgumentException("negative start time: " + startMs);
        }
    }

    /** Returns an incarnation of which only the worker's ID is known. */
    public static WorkerIncarnation ofUnknownStart(String id) {
        return new WorkerIncarnation(id, UNKNOWN_START_MS);
    }

    /** Whether the start time is known. */
    public boolean hasKnownStart() {
        return startMs != UNKNOWN_START_MS;
    }
}
