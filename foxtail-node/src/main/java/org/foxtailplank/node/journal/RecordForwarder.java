package org.foxtailplank.node.journal;

import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.Timers;

/** Stores records of an owner that has ended, as any other node stores its records. */
public final class RecordForwarder {
    /** How long storing a record is attempted, in milliseconds. */
    private static final long MAX_AGE_MS = 15_000;

    /** Delay before another attempt, in milliseconds. */
    private static final long RETRY_DELAY_MS = 500;

    private final JournalWriter mWriter;
    private final Clock mClock;
    private final Timers mTimers;

    public RecordForwarder(JournalWriter writer, Clock clock, Timers timers) {
        mWriter = writer;
        mClock = clock;
        mTimers = timers;
    }

    /** Hands a record over to the current owner, or appends it where there is none. */
    public void forward(JournalRecord record) {
        store(record, mClock.nowMs() + MAX_AGE_MS);
    }

    private void store(JournalRecord record, long deadlineMs) {
        mWriter.store(
                record,
                deadlineMs,
                outcome -> {
                    if (outcome != StoreOutcome.STORED && mClock.nowMs() < deadlineMs) {
                        mTimers.after(RETRY_DELAY_MS, () -> store(record, deadlineMs));
                    }
                });
    }
}
