package org.foxtailplank.job;

import java.util.Optional;

/**
 * Name of a task.
 *
 * @param job ID of its job
 * @param run which run of the job's steps, counted from 0
 * @param step number of its step
 * @param index number within the step
 */
public record TaskName(String job, int run, int step, int index) {
    private static final int PARTS = 4;

    /** Reads a name from its text; empty if it is none. */
    public static Optional<TaskName> parse(String text) {
        String[] parts = text.split("\\.");
        if (parts.length != PARTS) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new TaskName(
                            parts[0],
                            Integer.parseInt(parts[1]),
                            Integer.parseInt(parts[2]),
                            Integer.parseInt(parts[3])));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return job + '.' + run + '.' + step + '.' + index;
    }
}
