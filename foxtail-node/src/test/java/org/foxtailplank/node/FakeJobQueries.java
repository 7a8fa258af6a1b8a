package org.foxtailplank.node;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.job.JobPhase;
import org.foxtailplank.node.peer.OwnerBook;

/** An owner that knows what the test has told it, and answers at once. */
public final class FakeJobQueries implements OwnerBook {
    public final Map<String, JobPhase> mPhases = new HashMap<>();
    public final Map<String, Integer> mPending = new HashMap<>();

    @Override
    public void phase(String job, Consumer<Optional<JobPhase>> then) {
        then.accept(Optional.ofNullable(mPhases.get(job)));
    }

    @Override
    public void pending(String queue, Consumer<Optional<Integer>> then) {
        then.accept(Optional.ofNullable(mPending.get(queue)));
    }
}
