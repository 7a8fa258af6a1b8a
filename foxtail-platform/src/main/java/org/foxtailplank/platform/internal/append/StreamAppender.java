package org.foxtailplank.platform.internal.append;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.foxtailplank.internal.log.AppendGroup;
import org.foxtailplank.internal.log.AppendLimits;
import org.foxtailplank.internal.log.AppendOutcome;
import org.foxtailplank.internal.log.AppendQueue;
import org.foxtailplank.internal.log.AppendRateLimiter;
import org.foxtailplank.internal.log.AppendStep;
import org.foxtailplank.internal.log.GroupResult;
import org.foxtailplank.internal.log.LogPage;
import org.foxtailplank.internal.log.LoggedRecord;
import org.foxtailplank.internal.membership.Backoff;
import org.foxtailplank.platform.AppendResult;
import org.foxtailplank.platform.LogClientOptions;
import org.foxtailplank.platform.LogEntry;
import org.foxtailplank.platform.PlatformException;
import org.foxtailplank.platform.PlatformException.Effect;
import org.foxtailplank.platform.PlatformLog;
import org.foxtailplank.platform.ReadResult;

/** Carries out what an append queue decides, for one stream, on the thread that owns it. */
public final class StreamAppender {

    private static final Logger LOG = System.getLogger("foxtail.log-client");
    private static final int MAX_GROUPS = 10_000;
    private static final int MAX_BATCH_RECORDS = 256;
    private static final long MAX_BATCH_BYTES = 1L << 20;
    private static final int READ_LIMIT = 1_000;
    private static final int LATE_TIMEOUTS = 3;
    private static final long FIRST_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final String mStream;
    private final PlatformLog mLog;
    private final LogClientOptions mOptions;
    private final ScheduledExecutorService mOwner;
    private final AppendQueue mQueue;
    private final Map<Long, Waiting> mWaiting = new HashMap<>();
    private long mNumber;
    private long mWakeAt = Long.MAX_VALUE;
    private boolean mClosed;

    private record Waiting(List<LogEntry> entries, CompletableFuture<AppendResult> result) {}

    /** An appender whose calls count against a share. */
    public StreamAppender(
            String stream,
            PlatformLog log,
            LogClientOptions options,
            AppendRateLimiter share,
            Random random,
            ScheduledExecutorService owner) {
        mStream = stream;
        mLog = log;
        mOptions = options;
        mOwner = owner;
        long late = options.callTimeout().toNanos() * LATE_TIMEOUTS;
        mQueue =
                new AppendQueue(
                        new AppendLimits(MAX_GROUPS, MAX_BATCH_RECORDS, MAX_BATCH_BYTES, late),
                        share,
                        new Backoff(FIRST_BACKOFF_NANOS, MAX_BACKOFF_NANOS, random));
    }

    /** Appends entries, all or none. */
    public void append(List<LogEntry> entries, CompletableFuture<AppendResult> result) {
        long giveUp = mOptions.giveUp().toNanos();
        AppendGroup group =
                new AppendGroup(
                        ++mNumber,
                        entries.stream().map(LogEntry::id).toList(),
                        entries.stream().mapToLong(e -> e.data().length).sum(),
                        now() + giveUp);
        if (mClosed || !mQueue.offer(group)) {
            String why = mClosed ? "the log client is closed" : "too many appends wait already";
            result.completeExceptionally(new PlatformException(why, Effect.NONE));
            return;
        }
        mWaiting.put(group.number(), new Waiting(entries, result));
        mOwner.schedule(this::giveUp, giveUp, TimeUnit.NANOSECONDS);
        advance();
    }

    /** Fails all that is not settled. */
    public void close() {
        mClosed = true;
        PlatformException closed =
                new PlatformException("the log client is closed", Effect.UNKNOWN);
        mWaiting.values().forEach(w -> w.result().completeExceptionally(closed));
        mWaiting.clear();
    }

    private void giveUp() {
        settle(mQueue.removeExpired(now()));
        advance();
    }

    private void advance() {
        if (mClosed) {
            return;
        }
        AppendStep step = mQueue.next(now());
        if (step instanceof AppendStep.Append append) {
            call(mLog.append(mStream, entries(append)), this::appended);
        } else if (step instanceof AppendStep.FindEnd) {
            // An offset above the end is answered with an empty page that names the end.
            read(Long.MAX_VALUE, this::endRead);
        } else if (step instanceof AppendStep.ReadBack back) {
            read(back.from(), this::backRead);
        } else if (step instanceof AppendStep.Wait wait) {
            wakeAt(wait.until());
        }
    }

    private void read(long from, BiConsumer<ReadResult, Throwable> then) {
        call(mLog.read(mStream, from, READ_LIMIT, Duration.ZERO), then);
    }

    private <T> void call(CompletionStage<T> call, BiConsumer<T, Throwable> then) {
        call.whenComplete((r, e) -> onOwner(() -> then.accept(r, e)));
    }

    private void onOwner(Runnable task) {
        if (!mOwner.isShutdown()) {
            mOwner.execute(
                    () -> {
                        task.run();
                        advance();
                    });
        }
    }

    /** Schedules one wake-up for the time that is asked for, unless an earlier one is due. */
    private void wakeAt(long at) {
        if (at < mWakeAt) {
            mWakeAt = at;
            mOwner.schedule(this::wake, Math.max(0, at - now()), TimeUnit.NANOSECONDS);
        }
    }

    private void wake() {
        mWakeAt = Long.MAX_VALUE;
        giveUp();
    }

    private void appended(AppendResult result, Throwable error) {
        if (error == null) {
            settle(mQueue.appended(result.first(), result.end()));
        } else if (cause(error) instanceof PlatformException e && e.effect() == Effect.NONE) {
            mQueue.refused(now());
        } else {
            LOG.log(
                    Level.WARNING,
                    "log-client: The answer to an append on {0} was lost; reading back. {1}",
                    mStream,
                    cause(error).getMessage());
            mQueue.responseLost(now());
        }
    }

    private void endRead(ReadResult result, Throwable error) {
        if (error == null) {
            mQueue.endFound(result.end());
        } else {
            mQueue.readFailed(now());
        }
    }

    private void backRead(ReadResult result, Throwable error) {
        if (error == null) {
            settle(mQueue.readBack(page(result), now()));
        } else {
            mQueue.readFailed(now());
        }
    }

    private static LogPage page(ReadResult result) {
        return new LogPage(
                result.oldest(),
                result.end(),
                result.entries().stream().map(e -> new LoggedRecord(e.offset(), e.id())).toList());
    }

    private List<LogEntry> entries(AppendStep.Append append) {
        List<LogEntry> entries = new ArrayList<>();
        append.groups().forEach(g -> entries.addAll(mWaiting.get(g.number()).entries()));
        return entries;
    }

    private void settle(List<GroupResult> settled) {
        for (GroupResult s : settled) {
            Waiting waiting = mWaiting.remove(s.group().number());
            if (s.outcome() instanceof AppendOutcome.Appended a) {
                waiting.result().complete(new AppendResult(a.first(), a.end()));
            } else if (s.outcome() instanceof AppendOutcome.NotAppended n) {
                fail(waiting, n.reason(), Effect.NONE);
            } else if (s.outcome() instanceof AppendOutcome.Unresolved u) {
                fail(waiting, u.reason(), Effect.UNKNOWN);
            }
        }
    }

    private static void fail(Waiting waiting, String why, Effect effect) {
        waiting.result().completeExceptionally(new PlatformException(why, effect));
    }

    private static long now() {
        return System.nanoTime();
    }

    private static Throwable cause(Throwable error) {
        return error instanceof CompletionException && error.getCause() != null
                ? error.getCause()
                : error;
    }
}
