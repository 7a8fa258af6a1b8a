package org.foxtailplank.node.peer;

import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.job.JobPhase;

/** Answers queries about jobs, for nodes whose own job state may be out of date. */
public interface JobQueries {

    /**
     * Queries the phase of a job. {@code callback} runs exactly once. Its argument is empty if no
     * owner can be reached, it doesn't respond in time, or it doesn't know the job.
     */
    void phase(String job, Consumer<Optional<JobPhase>> callback);

    /** Queries the number of pending jobs of a queue in the same way. */
    void pending(String queue, Consumer<Optional<Integer>> callback);
}
