package org.foxtailplank.job;

import java.util.Optional;

/**
 * Identifies a task; its text form is {@code job.run.step.index}.
 *
 * @param job ID of the job
 * @param run number of the run of the job's steps, from 0
 * @param step number of the step, from 0
 * @param index number of the task within the step, from 0
 */
public record TaskName(String job, int run, int step, int index) {
    private static final int PARTS = 4;

    /** Parses the text form; returns empty if the text is malformed. */
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
