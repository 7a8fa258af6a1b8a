package org.foxtailplank.node.peer;

import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.job.JobSummary;

/** Answers queries about jobs, for nodes whose own job state may be out of date. */
public interface JobQueries {

    /**
     * Queries a job. {@code callback} runs exactly once. Its argument is empty if no owner can be
     * reached, it doesn't respond in time, or it doesn't know the job.
     */
    void job(String id, Consumer<Optional<JobSummary>> callback);

    /** Queries the number of pending jobs of a queue in the same way. */
    void pending(String queue, Consumer<Optional<Integer>> callback);

    /**
     * Queries whether the submission of a job may be refused. {@code callback} runs exactly once,
     * with false if no owner agrees in time: another node may have stored the job.
     *
     * @param keepMs time for which the owner then doesn't store the job, in milliseconds; it must
     *     end before the caller is told to return
     */
    void mayRefuse(String id, int keepMs, Consumer<Boolean> callback);
}
