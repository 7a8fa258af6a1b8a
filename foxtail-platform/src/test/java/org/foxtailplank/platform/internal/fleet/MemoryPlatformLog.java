package org.foxtailplank.platform.internal.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.foxtailplank.platform.AppendResult;
import org.foxtailplank.platform.LogEntry;
import org.foxtailplank.platform.PlatformException;
import org.foxtailplank.platform.PlatformException.Effect;
import org.foxtailplank.platform.PlatformLog;
import org.foxtailplank.platform.ReadResult;
import org.foxtailplank.platform.StoredEntry;

/** A log in memory whose answers can be lost and whose records can go. */
final class MemoryPlatformLog implements PlatformLog {
    private final Map<String, List<StoredEntry>> mStreams = new HashMap<>();
    private final Map<String, Long> mOldest = new HashMap<>();
    private final List<Runnable> mWaiting = new ArrayList<>();
    private long mShownEnd = Long.MAX_VALUE;
    private boolean mAway;
    private int mRefused;
    private int mLostAnswers;
    private int mAppends;

    /** Refuses the next appends without effect. */
    synchronized void refuseAppends(int times) {
        mRefused = times;
    }

    /** Loses the answers to the next appends after they took effect. */
    synchronized void loseAnswers(int times) {
        mLostAnswers = times;
    }

    /** Forgets the records below an offset. */
    synchronized void expire(String stream, long oldest) {
        mOldest.put(stream, oldest);
    }

    /** Answers no call until it is back. */
    synchronized void away(boolean away) {
        mAway = away;
    }

    /** Answers reads as if the stream of the fleet ended earlier, as a stale copy of it would. */
    synchronized void showEnd(long end) {
        mShownEnd = end;
        wake();
    }

    synchronized long end(String stream) {
        return entries(stream).size() + 1L;
    }

    /** Comes back without the records from an offset on. */
    synchronized void cutOff(String stream, long end) {
        entries(stream).removeIf(e -> e.offset() >= end);
        wake();
    }

    synchronized int appends() {
        return mAppends;
    }

    @Override
    public synchronized CompletionStage<AppendResult> append(
            String stream, List<LogEntry> entries) {
        return mAway ? failed("the platform is away", Effect.NONE) : appendAnyway(stream, entries);
    }

    synchronized CompletionStage<AppendResult> appendAnyway(String stream, List<LogEntry> entries) {
        if (mRefused > 0) {
            mRefused--;
            return failed("refused", Effect.NONE);
        }
        mAppends++;
        List<StoredEntry> stored = entries(stream);
        long first = stored.size() + 1L;
        entries.forEach(e -> stored.add(new StoredEntry(stored.size() + 1L, e.id(), e.data())));
        wake();
        if (mLostAnswers > 0) {
            mLostAnswers--;
            return failed("the answer was lost", Effect.UNKNOWN);
        }
        return CompletableFuture.completedFuture(new AppendResult(first, stored.size() + 1L));
    }

    @Override
    public synchronized CompletionStage<ReadResult> read(
            String stream, long from, int limit, Duration wait) {
        return read(stream, from, limit, wait, false);
    }

    synchronized CompletionStage<ReadResult> readAnyway(
            String stream, long from, int limit, Duration wait) {
        return read(stream, from, limit, wait, true);
    }

    private synchronized CompletionStage<ReadResult> read(
            String stream, long from, int limit, Duration wait, boolean anyway) {
        if (mAway && !anyway) {
            return failed("the platform is away", Effect.NONE);
        }
        List<StoredEntry> stored = entries(stream);
        long shown = stream.equals(LogFollower.STREAM) ? mShownEnd : Long.MAX_VALUE;
        long end = Math.min(shown, stored.size() + 1L);
        long oldest = mOldest.getOrDefault(stream, 1L);
        if (from != end || wait.isZero()) {
            List<StoredEntry> found =
                    from < oldest || from > end
                            ? List.of()
                            : stored.subList(
                                    (int) from - 1, (int) Math.min(end - 1, from - 1 + limit));
            return CompletableFuture.completedFuture(new ReadResult(oldest, end, found));
        }
        CompletableFuture<Void> arrival = new CompletableFuture<>();
        mWaiting.add(() -> arrival.complete(null));
        return arrival.completeOnTimeout(null, wait.toMillis(), TimeUnit.MILLISECONDS)
                .thenCompose(x -> read(stream, from, limit, Duration.ZERO, anyway));
    }

    private List<StoredEntry> entries(String stream) {
        return mStreams.computeIfAbsent(stream, s -> new ArrayList<>());
    }

    private void wake() {
        List<Runnable> waiting = new ArrayList<>(mWaiting);
        mWaiting.clear();
        waiting.forEach(Runnable::run);
    }

    private static <T> CompletionStage<T> failed(String message, Effect effect) {
        return CompletableFuture.failedFuture(new PlatformException(message, effect));
    }
}
