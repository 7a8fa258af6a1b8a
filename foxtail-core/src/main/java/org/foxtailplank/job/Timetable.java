package org.foxtailplank.job;

/**
 * Times at which a job's steps run.
 *
 * @param startMs time of the first run, in milliseconds since the epoch; 0 for immediately
 * @param periodMs interval between the starts of two runs, in milliseconds
 * @param runs number of runs
 */
public record Timetable(long startMs, long periodMs, int runs) {
    public static final Timetable AT_ONCE = new Timetable(0, 0, 1);

    /** Whether the runs start at fixed times. */
    public boolean isTimed() {
        return startMs > 0 || runs > 1;
    }

    /** Whether the time of the last run can be represented. */
    public boolean isInRange() {
        return startMs >= 0
                && periodMs >= 0
                && (runs < 2 || periodMs <= (Long.MAX_VALUE - startMs) / (runs - 1));
    }

    /** When a run is due, in milliseconds since the epoch; 0 for immediately. */
    public long dueMs(int run) {
        return startMs + run * periodMs;
    }

    /** Number of runs that are due by a time, in milliseconds since the epoch. */
    public int dueRuns(long nowMs) {
        if (nowMs < startMs) {
            return 0;
        }
        return periodMs == 0 ? runs : (int) Math.min(runs, (nowMs - startMs) / periodMs + 1);
    }
}
