package org.foxtailplank.node.caller;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.JobSummary;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.peer.JobQueries;

/** Answers from this node's own job state while it owns and has read the journal. */
public final class LocalJobQueries implements JobQueries {
    /** Registers refusals at the owner. */
    public interface RefusalRegistration {
        /**
         * Registers the refusal of a job; returns false if the job may be stored.
         *
         * @param keepMs time for which the job can't be stored then, in milliseconds
         */
        boolean tryRefuse(String job, int keepMs);
    }

    private final JournalReader mReader;
    private final Clock mClock;
    private final BooleanSupplier mIsOwner;
    private final RefusalRegistration mTryRefuse;

    /**
     * Creates the queries on a node's own job state.
     *
     * @param isOwner whether this node owns as far as it knows, and has read the journal since
     * @param tryRefuse registers the refusal of a job; false if it may be stored
     */
    public LocalJobQueries(
            JournalReader reader,
            Clock clock,
            BooleanSupplier isOwner,
            RefusalRegistration tryRefuse) {
        mReader = reader;
        mClock = clock;
        mIsOwner = isOwner;
        mTryRefuse = tryRefuse;
    }

    @Override
    public void job(String id, Consumer<Optional<JobSummary>> callback) {
        Optional<JobProgress> progress =
                mIsOwner.getAsBoolean() ? mReader.registry().job(id) : Optional.empty();
        callback.accept(progress.map(JobSummary::of));
    }

    /**
     * Returns a number only if the journal was read to its end recently. An owner whose requests
     * the store rejects may have been replaced without noticing, and would return an outdated
     * number.
     */
    @Override
    public void pending(String queue, Consumer<Optional<Integer>> callback) {
        long ageMs = mClock.nowMs() - mReader.completeMs();
        boolean isUpToDate = mIsOwner.getAsBoolean() && ageMs < CallerService.MAX_PENDING_AGE_MS;
        callback.accept(
                isUpToDate ? Optional.of(mReader.registry().pending(queue)) : Optional.empty());
    }

    @Override
    public void mayRefuse(String id, int keepMs, Consumer<Boolean> callback) {
        boolean unknown = mIsOwner.getAsBoolean() && mReader.registry().job(id).isEmpty();
        callback.accept(unknown && mTryRefuse.tryRefuse(id, keepMs));
    }
}
