package org.foxtailplank.platform;

import java.util.Optional;
import org.foxtailplank.id.JobId;

/**
 * Name of one task of a job, written {@code job/index}.
 *
 * @param job the job
 * @param index index of the task, from 0
 */
public record TaskId(JobId job, int index) {

    public TaskId {
        if (index < 0) {
            throw new IllegalArgumentException("the index of a task is negative");
        }
    }

    /** The name as the platform writes it. */
    public String text() {
        return job.value() + "/" + index;
    }

    /** Reads the name that the platform writes; empty when it is none of ours. */
    public static Optional<TaskId> parse(String text) {
        int slash = text.lastIndexOf('/');
        if (slash <= 0) {
            return Optional.empty();
        }
        try {
            int index = Integer.parseUnsignedInt(text.substring(slash + 1));
            return Optional.of(new TaskId(JobId.of(text.substring(0, slash)), index));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
