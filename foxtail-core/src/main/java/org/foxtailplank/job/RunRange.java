package org.foxtailplank.job;

/**
 * Consecutive runs of a job's steps.
 *
 * @param first number of the first run
 * @param last number of the last run
 */
public record RunRange(int first, int last) {
    public RunRange {
        if (first < 0 || last < first || last == Integer.MAX_VALUE) {
            throw new IllegalArgumentException("no range of runs: " + first + " to " + last);
        }
    }

    /** Number of runs. */
    long count() {
        return (long) last - first + 1;
    }
}
