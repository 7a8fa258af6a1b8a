package org.foxtailplank.node.caller;

import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.job.JobSummary;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.Timers;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.peer.JobQueries;

/**
 * Looks up jobs for callers within their deadlines: asks the owner first, which has read the whole
 * journal, and reads the journal if the owner doesn't know.
 *
 * <p>This lets a node that has just started or was disconnected answer before it has read the
 * journal.
 */
final class JobFinder {
    private final JournalReader mReader;
    private final JobQueries mOwnerQueries;
    private final Clock mClock;
    private final Timers mTimers;

    JobFinder(JournalReader reader, JobQueries ownerQueries, Clock clock, Timers timers) {
        mReader = reader;
        mOwnerQueries = ownerQueries;
        mClock = clock;
        mTimers = timers;
    }

    /** Receives a job, and whether the journal was read to its end for it. */
    interface JobCallback {
        void accept(boolean read, Optional<JobSummary> job);
    }

    /** Returns a job according to this node's own state. */
    Optional<JobSummary> localJob(String id) {
        return mReader.registry().job(id).map(JobSummary::of);
    }

    /** Returns the number of pending jobs of a queue according to this node's own state. */
    int localPending(String queue) {
        return mReader.registry().pending(queue);
    }

    /**
     * Looks up a job. One that the owner doesn't know is looked up in the journal, since the owner
     * may not have read yet what another node has appended itself.
     */
    void findJob(String id, long deadlineMs, JobCallback callback) {
        mOwnerQueries.job(
                id,
                result -> {
                    if (result.isPresent()) {
                        callback.accept(false, result);
                    } else {
                        readJournal(deadlineMs, read -> callback.accept(read, localJob(id)));
                    }
                });
    }

    /** Looks up the number of pending jobs of a queue; empty if it isn't known in time. */
    void findPending(String queue, long deadlineMs, Consumer<Optional<Integer>> callback) {
        mOwnerQueries.pending(
                queue,
                result -> {
                    if (result.isPresent()) {
                        callback.accept(result);
                    } else {
                        readJournal(
                                deadlineMs,
                                read ->
                                        callback.accept(
                                                Optional.of(localPending(queue))
                                                        .filter(p -> read)));
                    }
                });
    }

    /** Reads the journal to its end and reports whether that succeeded before the deadline. */
    private void readJournal(long deadlineMs, Consumer<Boolean> callback) {
        FirstResult firstResult = new FirstResult(callback);
        mReader.refresh(firstResult);
        mTimers.after(deadlineMs - mClock.nowMs(), () -> firstResult.accept(false));
    }

    /** Forwards the first result and ignores the timeout or result that follows. */
    private static final class FirstResult implements Consumer<Boolean> {
        private final Consumer<Boolean> mCallback;
        private boolean mDone;

        FirstResult(Consumer<Boolean> callback) {
            mCallback = callback;
        }

        @Override
        public void accept(Boolean outcome) {
            if (!mDone) {
                mDone = true;
                mCallback.accept(outcome);
            }
        }
    }
}
