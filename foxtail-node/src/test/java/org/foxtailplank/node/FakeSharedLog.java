package org.foxtailplank.node;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.SharedLog;

/**
 * In-memory shared log. Answers are held back until a test delivers them, and tests can make
 * appends and reads fail. It rejects the same appends as the platform's store.
 */
public final class FakeSharedLog implements SharedLog {
    /** Outcome of an append. */
    public enum ScriptedOutcome {
        /** Stored, and confirmed. */
        STORED,
        /** Not stored, and rejected with an answer. */
        REFUSED,
        /** Stored, but reported as unknown. */
        ANSWER_LOST,
        /** Not stored, and reported as unknown. */
        LOST,
        /** Stored, and never answered. */
        SILENT,
        /** Reported as unknown, and stored by {@link #performLateAppends}. */
        LATE
    }

    private final Map<LogPartition, List<byte[]>> mRecords = new HashMap<>();
    private final Deque<ScriptedOutcome> mScriptedOutcomes = new ArrayDeque<>();
    private final Deque<Runnable> mPendingAnswers = new ArrayDeque<>();
    private final Deque<Attempt> mLateAppends = new ArrayDeque<>();
    private final Map<LogPartition, Writer> mWriters = new HashMap<>();
    private final Set<LogPartition> mUnavailable = new HashSet<>();
    private final List<Integer> mOwnerAppendBytes = new ArrayList<>();
    private final Map<LogPartition, Integer> mReads = new HashMap<>();
    private int mMaxAnswerBytes = Integer.MAX_VALUE;
    private int mMaxRecordBytes = Integer.MAX_VALUE;
    private boolean mAnswersNewest = true;

    /** The store's state of a partition's fenced writer. */
    private static final class Writer {
        long mEpoch;
        long mSequence = -1;
        AppendResult mLast = new Stored(0, 0);
    }

    /** Sets the outcomes of the next appends, in order; later ones are stored. */
    public void scriptAppends(ScriptedOutcome... fates) {
        mScriptedOutcomes.addAll(List.of(fates));
    }

    /** Removes the outcomes that are still to come, so that the next appends are stored. */
    public void clearScript() {
        mScriptedOutcomes.clear();
    }

    /** Makes a partition reject all calls, or accept them again. */
    public void setUnavailable(LogPartition partition, boolean down) {
        if (down) {
            mUnavailable.add(partition);
        } else {
            mUnavailable.remove(partition);
        }
    }

    /** Makes reads time out whose answer is larger than this. */
    public void limitAnswerBytes(int bytes) {
        mMaxAnswerBytes = bytes;
    }

    /** Makes the log refuse appends with a record that is larger than this. */
    public void limitRecordBytes(int bytes) {
        mMaxRecordBytes = bytes;
    }

    /** Makes reads of the newest records fail, or succeed again. */
    public void setAnswersNewest(boolean answers) {
        mAnswersNewest = answers;
    }

    /** Performs the appends with the outcome {@link ScriptedOutcome#LATE}. */
    public void performLateAppends() {
        while (!mLateAppends.isEmpty()) {
            mLateAppends.poll().run();
        }
    }

    /** Delivers all held answers, and those to calls that they cause. */
    public void deliverAnswers() {
        while (!mPendingAnswers.isEmpty()) {
            mPendingAnswers.poll().run();
        }
    }

    /** Bytes of each append with records that an owner's writer has sent, in order. */
    public List<Integer> ownerAppendBytes() {
        return mOwnerAppendBytes;
    }

    public List<byte[]> records(LogPartition partition) {
        return mRecords.computeIfAbsent(partition, p -> new ArrayList<>());
    }

    /** Number of reads of a partition so far. */
    public int reads(LogPartition partition) {
        return mReads.getOrDefault(partition, 0);
    }

    @Override
    public void append(LogPartition at, List<byte[]> records, Consumer<AppendResult> callback) {
        answerLater(at, callback, () -> store(at, records));
    }

    @Override
    public void appendAt(
            LogPartition at, long expectedEnd, byte[] record, Consumer<AppendResult> callback) {
        answerLater(
                at,
                callback,
                () ->
                        records(at).size() == expectedEnd
                                ? store(at, List.of(record))
                                : new EndMoved(records(at).size()));
    }

    @Override
    public void appendAs(
            LogPartition at,
            WriterEpoch writer,
            List<byte[]> records,
            Consumer<AppendResult> callback) {
        if (!records.isEmpty()) {
            mOwnerAppendBytes.add(records.stream().mapToInt(r -> r.length).sum());
        }
        answerLater(at, callback, () -> storeAs(at, writer, records));
    }

    private AppendResult storeAs(LogPartition at, WriterEpoch writer, List<byte[]> records) {
        Writer known = mWriters.computeIfAbsent(at, p -> new Writer());
        if (writer.epoch() < known.mEpoch) {
            return new Fenced();
        }
        if (writer.epoch() > known.mEpoch) {
            known.mEpoch = writer.epoch();
            known.mSequence = -1;
        }
        if (records.isEmpty()) {
            return new Stored(records(at).size(), records(at).size());
        }
        if (records.stream().anyMatch(r -> r.length > mMaxRecordBytes)) {
            return new Unacceptable("record too large");
        }
        if (writer.sequence() == known.mSequence) {
            return known.mLast;
        }
        known.mSequence = writer.sequence();
        known.mLast = store(at, records);
        return known.mLast;
    }

    private AppendResult store(LogPartition at, List<byte[]> records) {
        List<byte[]> stored = records(at);
        long first = stored.size();
        stored.addAll(records);
        return new Stored(first, stored.size());
    }

    private interface Attempt {
        AppendResult run();
    }

    private void answerLater(LogPartition at, Consumer<AppendResult> callback, Attempt attempt) {
        if (mUnavailable.contains(at)) {
            mPendingAnswers.add(() -> callback.accept(new NotStored("down")));
            return;
        }
        ScriptedOutcome outcome =
                mScriptedOutcomes.isEmpty() ? ScriptedOutcome.STORED : mScriptedOutcomes.poll();
        if (outcome == ScriptedOutcome.SILENT) {
            attempt.run();
            return;
        }
        AppendResult result =
                switch (outcome) {
                    case STORED -> attempt.run();
                    case REFUSED -> new NotStored("refused");
                    case LOST -> new MaybeStored("lost");
                    case LATE -> {
                        mLateAppends.add(attempt);
                        yield new MaybeStored("late");
                    }
                    case SILENT -> throw new IllegalStateException("handled above");
                    case ANSWER_LOST -> {
                        attempt.run();
                        yield new MaybeStored("answer lost");
                    }
                };
        mPendingAnswers.add(() -> callback.accept(result));
    }

    @Override
    public void readNewest(LogPartition at, String after, Consumer<NewestResult> callback) {
        NewestResult result =
                mUnavailable.contains(at) || !mAnswersNewest
                        ? new NewestFailed("down")
                        : NewestRecords.page(records(at), after);
        mPendingAnswers.add(() -> callback.accept(result));
    }

    @Override
    public void read(
            LogPartition at, long from, PageRequest request, Consumer<ReadResult> callback) {
        mReads.merge(at, 1, Integer::sum);
        if (mUnavailable.contains(at)) {
            mPendingAnswers.add(() -> callback.accept(new ReadFailed("down")));
            return;
        }
        List<byte[]> all = records(at);
        List<byte[]> page = new ArrayList<>();
        int bytes = 0;
        for (int i = (int) Math.min(from, all.size()); i < all.size(); i++) {
            bytes += all.get(i).length;
            if (bytes > request.maxBytes()) {
                break;
            }
            page.add(all.get(i));
        }
        int sent = page.stream().mapToInt(r -> r.length).sum();
        long end = all.size();
        ReadResult result =
                sent > mMaxAnswerBytes ? new ReadFailed("timeout") : new Records(from, end, page);
        mPendingAnswers.add(() -> callback.accept(result));
    }
}
