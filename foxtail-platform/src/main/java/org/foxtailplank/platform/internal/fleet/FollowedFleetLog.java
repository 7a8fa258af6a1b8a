package org.foxtailplank.platform.internal.fleet;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import java.util.function.Supplier;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.platform.FleetFollower;
import org.foxtailplank.platform.FollowMode;
import org.foxtailplank.platform.FollowOptions;
import org.foxtailplank.platform.LogEntry;
import org.foxtailplank.platform.PlatformException;
import org.foxtailplank.platform.PlatformException.Effect;
import org.foxtailplank.platform.PlatformLog;
import org.foxtailplank.platform.StoredEntry;
import org.foxtailplank.process.Log;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.LogRecord;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.StatePosition;
import org.foxtailplank.state.UnknownChange;
import org.foxtailplank.state.Verdict;
import org.foxtailplank.state.VoidReason;
import org.foxtailplank.wire.RecordCodec;
import org.foxtailplank.wire.RecordFormatException;
import org.foxtailplank.wire.SnapshotCodec;
import org.foxtailplank.wire.StoredState;

/** The fleet log of one process: one thread of its own owns the state. */
public final class FollowedFleetLog implements FleetFollower, FollowListener {
    private static final Log LOG = Log.of("fleet-log");

    private final PlatformLog mLog;
    private final FollowOptions mOptions;
    private final OwnerThread mOwner = new OwnerThread();
    private final PendingRecords mPending = new PendingRecords();
    private final List<Runnable> mListeners = new CopyOnWriteArrayList<>();
    private final List<LogRecord> mWaiting = new ArrayList<>();
    private final LogFollower mFollower;
    private volatile FollowMode mMode = FollowMode.STARTING;
    private volatile StatePosition mPosition = StatePosition.NOTHING;

    private FollowedFleetLog(PlatformLog log, FollowOptions options) {
        mLog = log;
        mOptions = options;
        SnapshotStore store = new SnapshotStore(log);
        mFollower = new LogFollower(log, store, options, mOwner, this);
        new SnapshotSchedule(store, options, mOwner, this::storable, Clock.systemUTC()).start();
        mOwner.execute(mFollower::start);
    }

    /** Starts to follow the stream. */
    public static FollowedFleetLog start(PlatformLog log, FollowOptions options) {
        return new FollowedFleetLog(log, options);
    }

    @Override
    public CompletionStage<Verdict> submit(LogRecord record) {
        return onOwner(() -> append(record)).thenCompose(Function.identity());
    }

    @Override
    public <T> CompletionStage<T> read(Function<FleetView, T> reader) {
        return onOwner(() -> reader.apply(mFollower.state().fleet()));
    }

    @Override
    public void onChange(Runnable listener) {
        mListeners.add(listener);
    }

    @Override
    public FollowMode mode() {
        return mMode;
    }

    @Override
    public StatePosition position() {
        return mPosition;
    }

    @Override
    public CompletionStage<Optional<byte[]>> encodedState() {
        return onOwner(() -> mFollower.state().stored())
                .thenApplyAsync(s -> s.map(SnapshotCodec::encode));
    }

    @Override
    public CompletionStage<Boolean> offerState(byte[] encoded) {
        return CompletableFuture.supplyAsync(() -> decode(encoded))
                .thenCompose(s -> onOwner(() -> s.filter(this::isBetter).map(this::take)))
                .thenApply(Optional::isPresent);
    }

    @Override
    public CompletionStage<List<StoredEntry>> entriesAfter(StatePosition position, int maxBytes) {
        return onOwner(() -> mFollower.state().recent().after(position, maxBytes));
    }

    @Override
    public CompletionStage<Boolean> offerEntries(
            StatePosition position, List<StoredEntry> entries) {
        return onOwner(
                () -> {
                    boolean fits = position.equals(mFollower.state().position());
                    if (fits) {
                        mFollower.takeEntries(entries);
                    }
                    return fits;
                });
    }

    @Override
    public void close() {
        mOwner.execute(
                () -> mPending.failAll(new PlatformException("the log is closed", Effect.UNKNOWN)));
        mOwner.stop();
    }

    @Override
    public void folded(RecordId id, Verdict verdict) {
        mPosition = mFollower.state().position();
        mPending.resolve(id, verdict);
    }

    @Override
    public void changed() {
        mPosition = mFollower.state().position();
        mListeners.forEach(Runnable::run);
    }

    @Override
    public void mode(FollowMode mode) {
        mMode = mode;
        mPosition = mFollower.state().position();
        if (mode == FollowMode.FOLLOWING) {
            List<LogRecord> waiting = List.copyOf(mWaiting);
            mWaiting.clear();
            waiting.stream().filter(r -> mPending.isAwaited(r.id())).forEach(this::send);
        }
    }

    @Override
    public void missing(List<LogRecord> records) {
        for (LogRecord r : records) {
            if (!(r.change() instanceof UnknownChange)) {
                LOG.warn("Writes {0} again after a restoration", r.id());
                mPending.await(r.id()).whenComplete((v, e) -> LOG.warn("{0}: {1}", r.id(), v));
                send(r);
            }
        }
    }

    private Optional<StoredState> storable() {
        return mMode == FollowMode.FOLLOWING ? mFollower.state().stored() : Optional.empty();
    }

    private static Optional<StoredState> decode(byte[] encoded) {
        try {
            return Optional.of(SnapshotCodec.decode(encoded));
        } catch (RecordFormatException e) {
            LOG.warn("A peer's state is not taken: {0}", e.getMessage());
            return Optional.empty();
        }
    }

    /** Whether a peer's state goes further on the same past, or through a restoration. */
    private boolean isBetter(StoredState s) {
        StatePosition here = mFollower.state().position();
        boolean same = s.restorations() == here.restorations();
        boolean leads = !same || mFollower.state().fleet().isPrefixOf(s.state());
        if (!leads) {
            LOG.warn("A peer's state has another past; it is not taken");
        }
        return leads && s.position().compareTo(here) > 0;
    }

    private StoredState take(StoredState s) {
        mFollower.take(s);
        return s;
    }

    private CompletionStage<Verdict> append(LogRecord record) {
        Optional<Verdict> known = mPending.verdict(record.id()).or(() -> frozen(record));
        if (known.isPresent()) {
            return CompletableFuture.completedFuture(known.get());
        }
        CompletableFuture<Verdict> verdict = mPending.await(record.id());
        mOwner.later(() -> unanswered(record), mOptions.answerTimeout().toMillis());
        if (mMode == FollowMode.FOLLOWING) {
            send(record);
        } else {
            mWaiting.add(record);
        }
        return verdict;
    }

    private void send(LogRecord record) {
        byte[] data = RecordCodec.encode(record.withBasis(mFollower.state().fleet().basis()));
        mOwner.handle(
                mLog.append(LogFollower.STREAM, List.of(new LogEntry(record.id(), data))),
                (done, error) -> {
                    // Any other failure may have taken effect; the record is still to be read back.
                    if (error instanceof PlatformException e && e.effect() == Effect.NONE) {
                        mPending.fail(record.id(), e);
                    }
                });
    }

    private void unanswered(LogRecord record) {
        boolean unsent = mWaiting.remove(record);
        mPending.fail(
                record.id(),
                unsent
                        ? new PlatformException(mMode.text(), Effect.NONE)
                        : new PlatformException(
                                "the record was appended or not, and was not read back in time",
                                Effect.UNKNOWN));
    }

    /** Does not write about objects whose state this program can't know. */
    private Optional<Verdict> frozen(LogRecord record) {
        return record.change().touches().stream()
                .filter(mFollower.state().fleet()::isFrozen)
                .min(ObjectKey.ORDER)
                .map(k -> Verdict.refused(VoidReason.NOT_UNDERSTOOD, k.name() + " is frozen"));
    }

    private <T> CompletionStage<T> onOwner(Supplier<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        mOwner.execute(
                () -> {
                    try {
                        result.complete(task.get());
                    } catch (RuntimeException e) {
                        result.completeExceptionally(e);
                    }
                });
        return result;
    }
}
