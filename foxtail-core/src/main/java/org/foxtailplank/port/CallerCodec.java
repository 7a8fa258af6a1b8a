package org.foxtailplank.port;

import java.util.List;
import org.foxtailplank.job.JobPhase;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.Timetable;

/** Format of the requests and responses of callers. */
public interface CallerCodec {

    /** Parses the body of a job submission. */
    Submission read(byte[] body) throws InvalidBodyException;

    /** Name of the request header with the caller's timeout in milliseconds. */
    String deadlineHeader();

    /** Name of the request header with the caller's API key. */
    String keyHeader();

    /** Response body for a query of a job's phase. */
    String phase(JobPhase phase);

    /** Response body for a query of the number of pending jobs of a queue. */
    String pending(int jobs);

    /**
     * A parsed submission.
     *
     * @param text opaque text passed to each task
     * @param steps steps of the job
     * @param timetable times at which the steps run
     */
    record Submission(String text, List<TaskStep> steps, Timetable timetable) {
        public Submission {
            steps = List.copyOf(steps);
        }
    }

    /** Thrown for a body that isn't a valid submission; the message gives the reason. */
    final class InvalidBodyException extends Exception {
        private static final long serialVersionUID = 1L;

        public InvalidBodyException(String message) {
            super(message);
        }
    }
}
