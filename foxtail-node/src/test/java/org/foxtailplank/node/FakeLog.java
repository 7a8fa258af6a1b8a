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
 * A shared log in memory. Answers are held until a test lets them go, and the next appends can be
 * told to fail; it refuses what the platform's store refuses.
 */
public final class FakeLog implements SharedLog {
    /** What happens to an append. */
    public enum Fate {
        /** It is stored and answered. */
        STORED,
        /** Nothing is stored, and that is answered. */
        REFUSED,
        /** It is stored, and the answer is lost. */
        ANSWER_LOST,
        /** Nothing is stored, and nobody says so. */
        LOST,
        /** It is stored, and there is no answer at all. */
        SILENT,
        /** Nobody says anything, and it is carried out when the test lets late ones go. */
        LATE
    }

    private final Map<LogPartition, List<byte[]>> mRecords = new HashMap<>();
    private final Deque<Fate> mScriptedFates = new ArrayDeque<>();
    private final Deque<Runnable> mPendingAnswers = new ArrayDeque<>();
    private final Deque<Attempt> mLateAppends = new ArrayDeque<>();
    private final Map<LogPartition, Writer> mWriters = new HashMap<>();
    private final Set<LogPartition> mUnavailable = new HashSet<>();
    private int mMaxAnswerBytes = Integer.MAX_VALUE;

    /** The fenced writer of a partition, as the store remembers it. */
    private static final class Writer {
        long mEpoch;
        long mSequence = -1;
        AppendResult mLast = new Stored(0, 0);
    }

    /** What happens to the next appends, in order; all others are stored. */
    public void next(Fate... fates) {
        mScriptedFates.addAll(List.of(fates));
    }

    /** A partition refuses all calls from now on, or works again. */
    public void down(LogPartition partition, boolean down) {
        if (down) {
            mUnavailable.add(partition);
        } else {
            mUnavailable.remove(partition);
        }
    }

    /** Answers that are larger than this don't come before a read is given up. */
    public void linkCarries(int bytes) {
        mMaxAnswerBytes = bytes;
    }

    /** Carries out the appends that were late. */
    public void carryOutLate() {
        while (!mLateAppends.isEmpty()) {
            mLateAppends.poll().run();
        }
    }

    /** Answers what waits, and what that leads to. */
    public void answer() {
        while (!mPendingAnswers.isEmpty()) {
            mPendingAnswers.poll().run();
        }
    }

    public List<byte[]> records(LogPartition partition) {
        return mRecords.computeIfAbsent(partition, p -> new ArrayList<>());
    }

    @Override
    public void append(LogPartition at, List<byte[]> records, Consumer<AppendResult> then) {
        answerLater(at, then, () -> store(at, records));
    }

    @Override
    public void appendAt(
            LogPartition at, long expectedEnd, byte[] record, Consumer<AppendResult> then) {
        answerLater(
                at,
                then,
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
            Consumer<AppendResult> then) {
        answerLater(at, then, () -> storeAs(at, writer, records));
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
        if (writer.sequence() == known.mSequence) {
            return known.mLast;
        }
        known.mSequence = writer.sequence();
        known.mLast = store(at, records);
        return known.mLast;
    }

    private AppendResult store(LogPartition at, List<byte[]> records) {
        List<byte[]> all = records(at);
        long first = all.size();
        all.addAll(records);
        return new Stored(first, all.size());
    }

    private interface Attempt {
        AppendResult run();
    }

    private void answerLater(LogPartition at, Consumer<AppendResult> then, Attempt attempt) {
        if (mUnavailable.contains(at)) {
            mPendingAnswers.add(() -> then.accept(new NotStored("down")));
            return;
        }
        Fate fate = mScriptedFates.isEmpty() ? Fate.STORED : mScriptedFates.poll();
        if (fate == Fate.SILENT) {
            attempt.run();
            return;
        }
        AppendResult result =
                switch (fate) {
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
        mPendingAnswers.add(() -> then.accept(result));
    }

    @Override
    public void read(LogPartition at, long from, PageRequest request, Consumer<ReadResult> then) {
        if (mUnavailable.contains(at)) {
            mPendingAnswers.add(() -> then.accept(new ReadFailed("down")));
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
        mPendingAnswers.add(() -> then.accept(result));
    }
}
