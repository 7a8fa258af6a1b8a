package org.foxtailplank.platform.internal.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.platform.FollowOptions;
import org.foxtailplank.platform.LogEntry;
import org.foxtailplank.platform.PlatformLog;
import org.foxtailplank.platform.ReadResult;
import org.foxtailplank.platform.StoredEntry;
import org.foxtailplank.process.Log;
import org.foxtailplank.state.LogRecord;
import org.foxtailplank.state.StatePosition;
import org.foxtailplank.state.StateRestored;
import org.foxtailplank.wire.RecordCodec;
import org.foxtailplank.wire.StoredState;

/**
 * Puts a state back on a log that has lost records.
 *
 * <p>Guards against taking a log that came back empty or shorter for the truth: what was accepted
 * would be undone. The state is kept. The rest of the log is searched for a restoration by another
 * node; where there is none after a while, this node stores its state and appends a restoration.
 * The first one counts for every reader, so two nodes that restore at once do no harm.
 */
final class LogRepair {
    private static final Log LOG = Log.of("fleet-log");
    private static final int FIRST_STEP = 500;
    private static final int GROWTH = 4;
    private static final int POLLS = 4;

    private final PlatformLog mLog;
    private final SnapshotStore mStore;
    private final FollowOptions mOptions;
    private final OwnerThread mOwner;
    private final FollowedState mState;
    private final LogFollower mFollower;
    private long mDueNanos;
    private boolean mProposing;

    LogRepair(
            PlatformLog log,
            SnapshotStore store,
            FollowOptions options,
            OwnerThread owner,
            FollowedState state,
            LogFollower follower) {
        mLog = log;
        mStore = store;
        mOptions = options;
        mOwner = owner;
        mState = state;
        mFollower = follower;
    }

    /** Starts with the log as it was seen. */
    void begin(long oldest, long end) {
        LOG.error(
                "The log ends at {0}, but it was read up to {1}; the state is kept",
                end, mState.logOffset());
        long delay = mOptions.restoreDelay().toNanos();
        mDueNanos = System.nanoTime() + delay + ThreadLocalRandom.current().nextLong(delay + 1);
        mProposing = false;
        look(oldest, Math.min(end, mState.logOffset()) - FIRST_STEP, FIRST_STEP);
    }

    /** Goes back until an entry is known from before the loss. */
    private void look(long oldest, long from, int step) {
        if (from <= oldest) {
            scan(oldest);
            return;
        }
        read(
                from,
                1,
                Duration.ZERO,
                r -> {
                    boolean known =
                            r.entries().stream().findFirst().map(mState::mayHold).orElse(false);
                    if (known) {
                        scan(from);
                    } else {
                        look(r.oldest(), from - (long) step * GROWTH, step * GROWTH);
                    }
                });
    }

    /** Reads on from an offset at which the log was as it is known here. */
    private void scan(long from) {
        Duration wait = mOptions.restoreDelay().dividedBy(POLLS);
        read(
                from,
                LogFollower.READ_LIMIT,
                wait,
                r -> {
                    if (r.end() < from) {
                        look(r.oldest(), r.end() - FIRST_STEP, FIRST_STEP);
                    } else if (r.oldest() > from) {
                        scan(r.oldest());
                    } else {
                        scanned(from, r.entries());
                    }
                });
    }

    private void scanned(long from, List<StoredEntry> entries) {
        long next = from;
        for (StoredEntry e : entries) {
            next = e.offset() + 1;
            if (next == mState.logOffset() && mState.isLast(e)) {
                LOG.warn("The log is whole again");
                mFollower.resume();
                return;
            }
            Optional<StateRestored> restoration =
                    FollowedState.restoration(e).filter(r -> r.replaces() == mState.restorations());
            if (restoration.isPresent()) {
                if (mFollower.restore(restoration.get(), e)) {
                    mFollower.resume();
                }
                return;
            }
        }
        if (entries.isEmpty() && !mProposing && System.nanoTime() - mDueNanos >= 0) {
            propose();
        }
        scan(next);
    }

    /** Stores the state and appends a restoration; it counts only once it is read back. */
    private void propose() {
        Optional<StoredState> stored = mState.stored();
        if (stored.isEmpty() || mState.position().equals(StatePosition.NOTHING)) {
            return;
        }
        mProposing = true;
        StoredState s = stored.get();
        String name = mOptions.node() + "-restore-" + System.nanoTime();
        LOG.warn("Restores the state at version {0}", s.state().nextOffset());
        CompletionStage<Void> written =
                CompletableFuture.completedFuture(null)
                        .thenCompose(x -> mStore.write(name, s, System.currentTimeMillis()));
        mOwner.handle(
                written.thenCompose(x -> mLog.append(LogFollower.STREAM, List.of(entry(name, s)))),
                (done, error) -> {
                    if (error != null) {
                        LOG.warn("Restoring failed: {0}", error.getMessage());
                        mProposing = false;
                    }
                });
    }

    private LogEntry entry(String name, StoredState s) {
        StatePosition p = s.position();
        RecordId id = RecordId.of(name);
        LogRecord record =
                new LogRecord(
                        id,
                        NodeId.of(mOptions.node()),
                        Optional.empty(),
                        Map.of(),
                        new StateRestored(p.restorations(), p.nextOffset(), p.digest(), name));
        return new LogEntry(id, RecordCodec.encode(record));
    }

    private void read(long from, int limit, Duration wait, Consumer<ReadResult> then) {
        int asked = mFollower.takeovers();
        mOwner.handle(
                mLog.read(LogFollower.STREAM, from, limit, wait),
                (r, error) -> {
                    if (asked != mFollower.takeovers()) {
                        return;
                    }
                    if (error != null) {
                        mFollower.retry(
                                "Reading a log that lost records failed",
                                error,
                                () -> read(from, limit, wait, then));
                    } else {
                        then.accept(r);
                    }
                });
    }
}
