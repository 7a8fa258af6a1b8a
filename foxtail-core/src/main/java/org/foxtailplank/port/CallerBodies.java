package org.foxtailplank.port;

import java.util.List;
import org.foxtailplank.job.JobPhase;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.Timetable;

/** The form in which callers hand jobs in and are told of them. */
public interface CallerBodies {

    /** Reads a submission. */
    Submission read(byte[] body) throws BadBodyException;

    /** Name of the header that says how many milliseconds a caller waits for an answer. */
    String deadlineHeader();

    /** The answer to a question about a job. */
    String phase(JobPhase phase);

    /** The answer to a question about a queue. */
    String pending(int jobs);

    /** A submission: the text for the tasks, the steps, and when they run. */
    record Submission(String text, List<TaskStep> steps, Timetable timetable) {
        public Submission {
            steps = List.copyOf(steps);
        }
    }

    /** A body that is no submission; the message says why. */
    final class BadBodyException extends Exception {
        private static final long serialVersionUID = 1L;

        public BadBodyException(String message) {
            super(message);
        }
    }
}
