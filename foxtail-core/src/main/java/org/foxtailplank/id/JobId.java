package org.foxtailplank.id;

/**
 * Name of a job submitted to a pool.
 *
 * @param value the name, never blank
 */
public record JobId(String value) implements Comparable<JobId> {

    public JobId {
        Names.check(value, "job");
    }

    /** Reads a job name from text. */
    public static JobId of(String value) {
        return new JobId(value);
    }

    @Override
    public int compareTo(JobId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
