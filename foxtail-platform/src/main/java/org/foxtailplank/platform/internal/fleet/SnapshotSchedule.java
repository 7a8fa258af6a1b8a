package org.foxtailplank.platform.internal.fleet;

import java.time.Clock;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.foxtailplank.platform.FollowOptions;
import org.foxtailplank.process.Log;
import org.foxtailplank.wire.SnapshotChunk;
import org.foxtailplank.wire.StoredState;

/**
 * Stores a snapshot well before the oldest record that is needed expires.
 *
 * <p>Each node looks at the newest stored part now and then and writes only when that is old or far
 * behind; the jitter of the looks keeps nodes from writing at once, and if they do, no harm is
 * done.
 */
final class SnapshotSchedule {
    private static final Log LOG = Log.of("fleet-log");

    /** Snapshots within the time that the platform keeps a record. */
    private static final int SNAPSHOTS_PER_RETENTION = 8;

    /** Looks between two snapshots. */
    private static final int LOOKS_PER_SNAPSHOT = 8;

    private static final Duration MAX_PAUSE = Duration.ofMinutes(5);

    private final SnapshotStore mStore;
    private final FollowOptions mOptions;
    private final OwnerThread mOwner;
    private final Supplier<Optional<StoredState>> mState;
    private final Clock mClock;

    SnapshotSchedule(
            SnapshotStore store,
            FollowOptions options,
            OwnerThread owner,
            Supplier<Optional<StoredState>> state,
            Clock clock) {
        mStore = store;
        mOptions = options;
        mOwner = owner;
        mState = state;
        mClock = clock;
    }

    void start() {
        mOwner.later(this::look, pause());
    }

    private void look() {
        mOwner.handle(
                mStore.newestPart(),
                (newest, error) -> {
                    if (error == null) {
                        mState.get().filter(s -> isDue(s, newest)).ifPresent(this::write);
                    }
                    mOwner.later(this::look, pause());
                });
    }

    /** Whether the newest stored snapshot is too old for the state that is held here. */
    boolean isDue(StoredState state, Optional<SnapshotChunk> newest) {
        if (state.state().nextOffset() <= 1) {
            return false;
        }
        if (newest.isEmpty()) {
            return true;
        }
        SnapshotChunk n = newest.get();
        long age = mClock.millis() - n.writtenMillis();
        long behind = state.state().nextOffset() - n.nextOffset();
        boolean old = age >= mOptions.retention().toMillis() / SNAPSHOTS_PER_RETENTION;
        boolean restored = n.restorations() < state.restorations();
        return restored || old && behind >= 0 || behind >= mOptions.snapshotRecords();
    }

    private void write(StoredState state) {
        String name = mOptions.node() + "-" + state.position().nextOffset() + "-" + mClock.millis();
        mOwner.handle(
                CompletableFuture.completedFuture(state)
                        .thenComposeAsync(s -> mStore.write(name, s, mClock.millis())),
                (done, error) -> {
                    String end = error == null ? "is stored" : "failed: " + error.getMessage();
                    LOG.info("Snapshot {0} {1}", name, end);
                });
    }

    private long pause() {
        long between =
                mOptions.retention().toMillis() / (SNAPSHOTS_PER_RETENTION * LOOKS_PER_SNAPSHOT);
        long bounded = Math.max(1, Math.min(MAX_PAUSE.toMillis(), between));
        return bounded / 2 + ThreadLocalRandom.current().nextLong(bounded);
    }
}
