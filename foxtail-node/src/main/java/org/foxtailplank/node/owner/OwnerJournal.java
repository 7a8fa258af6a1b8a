package org.foxtailplank.node.owner;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.node.journal.JournalPartition;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.port.SharedLog.AppendResult;
import org.foxtailplank.port.SharedLog.WriterEpoch;

/**
 * Writes the owner's records to the journal.
 *
 * <p>Guards against an owner that was paused and goes on writing after another one has taken over:
 * the new owner would not know of a start or an acknowledged end that comes after it has read the
 * journal. A new owner raises the epoch of the owners' writer to its token before it reads; from
 * then on the store itself refuses what an earlier owner writes. One append is on its way at a
 * time; it is repeated with its number until the store has answered, so that none is stored twice.
 */
final class OwnerJournal {
    private static final String WRITER = "owner";

    /** Pause before an append that the store did not take is repeated, in milliseconds. */
    private static final long RETRY_MS = 100;

    private final OwnerParts mParts;
    private final long mToken;
    private final Runnable mFenced;
    private final Deque<Item> mQueue = new ArrayDeque<>();
    private long mSequence;
    private boolean mInFlight;
    private long mStoredMs;
    private boolean mOver;

    private record Item(byte[] bytes, Runnable stored) {}

    OwnerJournal(OwnerParts parts, long token, Runnable fenced) {
        mParts = parts;
        mToken = token;
        mFenced = fenced;
        mStoredMs = parts.clock().nowMs();
    }

    /** Keeps all earlier owners from writing, then goes on. */
    void raiseEpoch(Runnable then) {
        send(List.of(), then);
    }

    /** Stores a record, however long it takes. */
    void store(JournalRecord record, Runnable stored) {
        mQueue.add(new Item(JournalCodec.encode(record), stored));
        pump();
    }

    /** Stores a last record, then runs {@code stored}; nothing is repeated after it. */
    void leave(JournalRecord record, Runnable stored) {
        store(
                record,
                () -> {
                    mOver = true;
                    stored.run();
                });
    }

    /** How long ago the store last took a record. */
    long storedMsAgo() {
        return mParts.clock().nowMs() - mStoredMs;
    }

    /** Whether records wait that the store has not taken. */
    boolean isBehind() {
        return !mQueue.isEmpty();
    }

    private void pump() {
        if (mInFlight || mOver || mQueue.isEmpty()) {
            return;
        }
        List<Item> batch = List.copyOf(mQueue);
        mQueue.clear();
        List<byte[]> records = new ArrayList<>(batch.size());
        batch.forEach(i -> records.add(i.bytes()));
        send(records, () -> batch.forEach(i -> i.stored().run()));
    }

    private void send(List<byte[]> records, Runnable stored) {
        mInFlight = true;
        WriterEpoch writer = new WriterEpoch(WRITER, mToken, mSequence);
        mParts.sharedLog()
                .appendAs(
                        JournalPartition.JOURNAL,
                        writer,
                        records,
                        r -> answered(records, stored, r));
    }

    private void answered(List<byte[]> records, Runnable stored, AppendResult result) {
        if (mOver) {
            return;
        }
        if (result instanceof SharedLog.Stored) {
            mInFlight = false;
            mStoredMs = mParts.clock().nowMs();
            mSequence += records.isEmpty() ? 0 : 1;
            stored.run();
            pump();
            return;
        }
        mParts.log()
                .line("owner-append")
                .with("token", mToken)
                .with("sequence", mSequence)
                .with("outcome", result)
                .write();
        if (result instanceof SharedLog.Fenced) {
            mOver = true;
            mFenced.run();
        } else if (result instanceof SharedLog.OutOfSequence expected) {
            mSequence = expected.expected();
            send(records, stored);
        } else {
            mParts.timers().after(RETRY_MS, () -> again(records, stored));
        }
    }

    private void again(List<byte[]> records, Runnable stored) {
        if (!mOver) {
            send(records, stored);
        }
    }
}
