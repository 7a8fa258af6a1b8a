package org.foxtailplank.node;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.foxtailplank.job.JobPhase;
import org.foxtailplank.job.JobSummary;
import org.foxtailplank.node.peer.JobQueries;

/** Answers queries at once with values that a test has set. */
public final class FakeJobQueries implements JobQueries {
    public final Map<String, JobPhase> mPhases = new HashMap<>();
    public final Map<String, Integer> mPending = new HashMap<>();

    /** Answers queries about refusals; doesn't agree unless a test replaces it. */
    public BiConsumer<String, Consumer<Boolean>> mRefusal =
            (id, callback) -> callback.accept(false);

    /** Time of the last query for which the refusal is kept, in milliseconds. */
    public int mKeepMs;

    @Override
    public void job(String id, Consumer<Optional<JobSummary>> callback) {
        callback.accept(Optional.ofNullable(mPhases.get(id)).map(p -> new JobSummary(p, "", "")));
    }

    @Override
    public void pending(String queue, Consumer<Optional<Integer>> callback) {
        callback.accept(Optional.ofNullable(mPending.get(queue)));
    }

    @Override
    public void mayRefuse(String id, int keepMs, Consumer<Boolean> callback) {
        mKeepMs = keepMs;
        mRefusal.accept(id, callback);
    }
}
