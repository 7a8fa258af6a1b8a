package org.foxtailplank.job;

/**
 * When a job's steps run.
 *
 * @param startMs time of the first run since 1970, in milliseconds; 0 for at once
 * @param periodMs milliseconds between two runs
 * @param runs number of runs
 */
public record Timetable(long startMs, long periodMs, int runs) {
    public static final Timetable AT_ONCE = new Timetable(0, 0, 1);

    /** Whether the runs have times of their own. */
    public boolean isTimed() {
        return startMs > 0;
    }

    /** When a run is due, in milliseconds since 1970; 0 for at once. */
    public long dueMs(int run) {
        return isTimed() ? startMs + run * periodMs : 0;
    }
}
