package org.foxtailplank.platform.internal.fleet;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.foxtailplank.platform.FleetFollower;
import org.foxtailplank.platform.LogEntry;
import org.foxtailplank.platform.PlatformException;
import org.foxtailplank.platform.PlatformException.Effect;
import org.foxtailplank.platform.PlatformLog;
import org.foxtailplank.platform.ReadResult;
import org.foxtailplank.platform.StoredEntry;
import org.foxtailplank.state.FleetState;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.LogRecord;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.Verdict;
import org.foxtailplank.state.VoidReason;
import org.foxtailplank.wire.RecordCodec;
import org.foxtailplank.wire.RecordFormatException;

/** Follows the stream of the fleet by long polls; one thread of its own owns the state. */
public final class FollowedFleetLog implements FleetFollower {
    /** Stream that holds everything that must be ordered against each other. */
    public static final String STREAM = "fleet";

    private static final Logger LOG = System.getLogger(FollowedFleetLog.class.getName());
    private static final int READ_LIMIT = 500;
    private static final Duration READ_WAIT = Duration.ofSeconds(1);
    private static final long FIRST_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 2_000;

    private final PlatformLog mLog;
    private final Duration mAnswerTimeout;
    private final ScheduledExecutorService mOwner;
    private final FleetState mState = new FleetState();
    private final PendingRecords mPending = new PendingRecords();
    private final List<Runnable> mListeners = new CopyOnWriteArrayList<>();
    private long mBackoffMillis = FIRST_BACKOFF_MILLIS;
    private volatile boolean mClosed;

    private FollowedFleetLog(PlatformLog log, Duration answerTimeout) {
        mLog = log;
        mAnswerTimeout = answerTimeout;
        mOwner =
                Executors.newSingleThreadScheduledExecutor(
                        r -> {
                            Thread t = new Thread(r, "fleet-log");
                            t.setDaemon(true);
                            return t;
                        });
    }

    /**
     * Starts to follow the stream from its first record.
     *
     * @param answerTimeout time after which a record whose append was not answered, and which was
     *     not read back, is reported as unknown
     */
    public static FollowedFleetLog follow(PlatformLog log, Duration answerTimeout) {
        FollowedFleetLog f = new FollowedFleetLog(log, answerTimeout);
        f.mOwner.execute(f::poll);
        return f;
    }

    @Override
    public CompletionStage<Verdict> submit(LogRecord record) {
        CompletableFuture<Verdict> result = new CompletableFuture<>();
        onOwner(() -> append(record).whenComplete((v, e) -> settle(result, v, e)), result);
        return result;
    }

    @Override
    public <T> CompletionStage<T> read(Function<FleetView, T> reader) {
        CompletableFuture<T> result = new CompletableFuture<>();
        onOwner(() -> result.complete(reader.apply(mState)), result);
        return result;
    }

    @Override
    public void onChange(Runnable listener) {
        mListeners.add(listener);
    }

    @Override
    public void close() {
        mClosed = true;
        mOwner.execute(
                () -> mPending.failAll(new PlatformException("the log is closed", Effect.UNKNOWN)));
        mOwner.shutdown();
    }

    private CompletionStage<Verdict> append(LogRecord record) {
        Optional<Verdict> known = mPending.verdict(record.id()).or(() -> frozen(record));
        if (known.isPresent()) {
            return CompletableFuture.completedFuture(known.get());
        }
        CompletableFuture<Verdict> verdict = mPending.await(record.id());
        byte[] data = RecordCodec.encode(record.basedOn(mState.nextOffset()));
        mLog.append(STREAM, List.of(new LogEntry(record.id(), data)))
                .whenComplete((r, e) -> execute(() -> appended(record, e)));
        mOwner.schedule(
                () -> mPending.fail(record.id(), unanswered()),
                mAnswerTimeout.toMillis(),
                TimeUnit.MILLISECONDS);
        return verdict;
    }

    /** Does not write about objects whose state this program can't know. */
    private Optional<Verdict> frozen(LogRecord record) {
        return record.change().touches().stream()
                .filter(mState::isFrozen)
                .min(ObjectKey.ORDER)
                .map(k -> Verdict.refused(VoidReason.NOT_UNDERSTOOD, k.name() + " is frozen"));
    }

    /** Fails a record that was certainly not appended; any other is still to be read back. */
    private void appended(LogRecord record, Throwable error) {
        if (cause(error) instanceof PlatformException e && e.effect() == Effect.NONE) {
            mPending.fail(record.id(), e);
        }
    }

    private static PlatformException unanswered() {
        return new PlatformException(
                "the platform has not answered an append and the record was not read back",
                Effect.UNKNOWN);
    }

    private void poll() {
        if (mClosed) {
            return;
        }
        mLog.read(STREAM, mState.nextOffset(), READ_LIMIT, READ_WAIT)
                .whenComplete((r, e) -> execute(() -> received(r, e)));
    }

    private void received(ReadResult result, Throwable error) {
        if (error != null) {
            long pause = mBackoffMillis / 2 + ThreadLocalRandom.current().nextLong(mBackoffMillis);
            mBackoffMillis = Math.min(MAX_BACKOFF_MILLIS, mBackoffMillis * 2);
            LOG.log(
                    Level.WARNING,
                    "fleet-log: reading failed, next try in {0} ms: {1}",
                    pause,
                    cause(error).getMessage());
            mOwner.schedule(this::poll, pause, TimeUnit.MILLISECONDS);
            return;
        }
        mBackoffMillis = FIRST_BACKOFF_MILLIS;
        result.entries().forEach(this::fold);
        if (!result.entries().isEmpty()) {
            mListeners.forEach(Runnable::run);
        }
        poll();
    }

    private void fold(StoredEntry entry) {
        if (entry.offset() < mState.nextOffset()) {
            return;
        }
        Verdict verdict = foldBytes(entry);
        mPending.resolve(entry.id(), verdict);
    }

    private Verdict foldBytes(StoredEntry entry) {
        LogRecord record;
        try {
            record = RecordCodec.decode(entry.data());
        } catch (RecordFormatException e) {
            LOG.log(Level.WARNING, "fleet-log: offset {0}: {1}", entry.offset(), e.getMessage());
            return mState.skip(entry.offset());
        }
        return mState.apply(entry.offset(), record);
    }

    private void execute(Runnable task) {
        if (!mClosed) {
            mOwner.execute(task);
        }
    }

    private void onOwner(Runnable task, CompletableFuture<?> result) {
        mOwner.execute(
                () -> {
                    try {
                        task.run();
                    } catch (RuntimeException e) {
                        result.completeExceptionally(e);
                    }
                });
    }

    private static <T> void settle(CompletableFuture<T> result, T value, Throwable error) {
        if (error == null) {
            result.complete(value);
        } else {
            result.completeExceptionally(cause(error));
        }
    }

    private static Throwable cause(Throwable error) {
        return error instanceof CompletionException && error.getCause() != null
                ? error.getCause()
                : error;
    }
}
