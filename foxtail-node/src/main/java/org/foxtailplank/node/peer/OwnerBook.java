package org.foxtailplank.node.peer;

import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.job.JobPhase;

/** What the owner's book tells of jobs, for nodes whose own book may be old. */
public interface OwnerBook {

    /**
     * Asks where a job stands. {@code then} runs once in any case; it gets nothing where no owner
     * can be asked, none answers soon, or the owner doesn't know the job.
     */
    void phase(String job, Consumer<Optional<JobPhase>> then);

    /** Asks in the same way how many jobs of a queue wait. */
    void pending(String queue, Consumer<Optional<Integer>> then);
}
