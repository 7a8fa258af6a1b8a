package org.foxtailplank.node.caller;

import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.job.JobEntry;
import org.foxtailplank.job.JobPhase;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.Timers;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.peer.OwnerBook;

/**
 * Finds out what callers want to know of jobs, within their time: from the owner, which has read
 * all of the journal, else from the journal itself.
 *
 * <p>Guards against a node that has just started, or was cut off, and answers nobody for as long as
 * its link takes to carry the journal.
 */
final class JobFinder {
    private final JournalReader mReader;
    private final OwnerBook mOwner;
    private final Clock mClock;
    private final Timers mTimers;

    JobFinder(JournalReader reader, OwnerBook owner, Clock clock, Timers timers) {
        mReader = reader;
        mOwner = owner;
        mClock = clock;
        mTimers = timers;
    }

    /** Is told where a job stands, and whether all of the journal was read for that. */
    interface PhaseCallback {
        void accept(boolean read, Optional<JobPhase> phase);
    }

    /** Where a job stands as far as this node knows. */
    Optional<JobPhase> localPhase(String id) {
        return mReader.book().job(id).map(JobEntry::phase);
    }

    /** How many jobs of a queue wait as far as this node knows. */
    int localPending(String queue) {
        return mReader.book().pending(queue);
    }

    /**
     * Finds out where a job stands. The owner may not have read yet what another node has stored by
     * itself, so that a job that it doesn't know is looked for in the journal.
     */
    void findPhase(String id, long deadlineMs, PhaseCallback then) {
        mOwner.phase(
                id,
                told -> {
                    if (told.isPresent()) {
                        then.accept(false, told);
                    } else {
                        readJournal(deadlineMs, read -> then.accept(read, localPhase(id)));
                    }
                });
    }

    /** Finds out how many jobs of a queue wait; empty if that can't be found out in time. */
    void findPending(String queue, long deadlineMs, Consumer<Optional<Integer>> then) {
        mOwner.pending(
                queue,
                told -> {
                    if (told.isPresent()) {
                        then.accept(told);
                    } else {
                        readJournal(
                                deadlineMs,
                                read ->
                                        then.accept(
                                                Optional.of(localPending(queue))
                                                        .filter(p -> read)));
                    }
                });
    }

    /**
     * Reads the journal to its end and says whether that worked, or that it didn't when the time is
     * over.
     */
    private void readJournal(long deadlineMs, Consumer<Boolean> then) {
        FirstResult once = new FirstResult(then);
        mReader.refresh(once);
        mTimers.after(deadlineMs - mClock.nowMs(), () -> once.accept(false));
    }

    /** Hands the first outcome on. */
    private static final class FirstResult implements Consumer<Boolean> {
        private final Consumer<Boolean> mCallback;
        private boolean mDone;

        FirstResult(Consumer<Boolean> then) {
            mCallback = then;
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
