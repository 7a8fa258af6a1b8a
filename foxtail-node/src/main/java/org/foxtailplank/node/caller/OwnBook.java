package org.foxtailplank.node.caller;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.foxtailplank.job.JobEntry;
import org.foxtailplank.job.JobPhase;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.peer.OwnerBook;

/** The book of this node, from which it answers while it owns and has read the journal. */
public final class OwnBook implements OwnerBook {
    private final JournalReader mReader;
    private final Clock mClock;
    private final BooleanSupplier mIsOwner;

    /**
     * A book.
     *
     * @param owns whether this node owns as far as it knows, and has read the journal since
     */
    public OwnBook(JournalReader reader, Clock clock, BooleanSupplier owns) {
        mReader = reader;
        mClock = clock;
        mIsOwner = owns;
    }

    @Override
    public void phase(String job, Consumer<Optional<JobPhase>> then) {
        Optional<JobEntry> known =
                mIsOwner.getAsBoolean() ? mReader.book().job(job) : Optional.empty();
        then.accept(known.map(JobEntry::phase));
    }

    /**
     * Tells a number only from a book that was complete a moment ago. An owner whose requests the
     * store rejects may have been replaced without knowing it, and its number may be 0 while jobs
     * wait.
     */
    @Override
    public void pending(String queue, Consumer<Optional<Integer>> then) {
        long age = mClock.nowMs() - mReader.completeMs();
        boolean knows = mIsOwner.getAsBoolean() && age < CallerService.MAX_PENDING_AGE_MS;
        then.accept(knows ? Optional.of(mReader.book().pending(queue)) : Optional.empty());
    }
}
