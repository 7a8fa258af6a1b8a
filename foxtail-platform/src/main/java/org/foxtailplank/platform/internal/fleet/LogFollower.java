package org.foxtailplank.platform.internal.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.platform.FollowMode;
import org.foxtailplank.platform.FollowOptions;
import org.foxtailplank.platform.PlatformLog;
import org.foxtailplank.platform.ReadResult;
import org.foxtailplank.platform.StoredEntry;
import org.foxtailplank.process.Log;
import org.foxtailplank.state.Basis;
import org.foxtailplank.state.LogRecord;
import org.foxtailplank.state.StateRestored;
import org.foxtailplank.wire.StoredState;

/**
 * Reads the stream of the fleet in long polls and folds it; runs on the owner's thread.
 *
 * <p>After each gap (a failed read, a start, a state from a peer) it reads its last entry once more
 * before going on. Guards against a log that lost records and grew again meanwhile: its offsets fit
 * but its records are others, and the state would go on from a past that the log does not have.
 */
final class LogFollower {
    static final String STREAM = "fleet";
    static final int READ_LIMIT = 500;

    private static final Log LOG = Log.of("fleet-log");
    private static final Duration READ_WAIT = Duration.ofSeconds(1);

    private final PlatformLog mLog;
    private final OwnerThread mOwner;
    private final FollowListener mListener;
    private final FollowedState mState;
    private final SnapshotStore mStore;
    private final LogRepair mRepair;
    private final Backoff mBackoff = new Backoff();
    private FollowMode mMode = FollowMode.STARTING;

    /** Counts states taken from elsewhere; an answer that was asked for before one is dropped. */
    private int mTakeovers;

    private boolean mVerify = true;
    private long mTrusted;

    LogFollower(
            PlatformLog log,
            SnapshotStore store,
            FollowOptions options,
            OwnerThread owner,
            FollowListener listener) {
        mLog = log;
        mStore = store;
        mOwner = owner;
        mListener = listener;
        mState = new FollowedState();
        mRepair = new LogRepair(log, store, options, owner, mState, this);
    }

    FollowedState state() {
        return mState;
    }

    FollowMode mode() {
        return mMode;
    }

    int takeovers() {
        return mTakeovers;
    }

    /** Looks for the newest snapshot, then follows the log from there. */
    void start() {
        int asked = mTakeovers;
        mOwner.handle(
                mStore.newest(),
                (found, error) -> {
                    if (asked != mTakeovers) {
                        return;
                    }
                    if (error != null) {
                        retry("Loading a snapshot failed", error, this::start);
                    } else if (found.isPresent()) {
                        take(found.get());
                    } else {
                        poll();
                    }
                });
    }

    /** Takes a state from elsewhere and follows the log from there. */
    void take(StoredState stored) {
        mState.adopt(stored);
        mTakeovers++;
        LOG.info("Goes on from a snapshot at version {0}", stored.state().nextOffset());
        if (mMode != FollowMode.RESTORING) {
            setMode(FollowMode.FOLLOWING);
        }
        mListener.changed();
        resume();
    }

    /** Reads on, after a look whether the last entry still stands there. */
    void resume() {
        mVerify = true;
        poll();
    }

    /** Folds entries that a peer has read; each must be the next one. */
    void takeEntries(List<StoredEntry> entries) {
        for (StoredEntry e : entries) {
            Optional<LogRecord> record = FollowedState.record(e);
            boolean restoration = FollowedState.restoration(e).isPresent();
            if (e.offset() != mState.logOffset() || restoration || isStrange(record)) {
                break;
            }
            fold(e, record);
        }
        mListener.changed();
    }

    private void poll() {
        long next = mState.logOffset();
        boolean verify = mVerify && next > 1;
        int asked = mTakeovers;
        // Before the first answer a wait would only delay the start of whoever needs the state.
        Duration wait = mMode == FollowMode.FOLLOWING && !verify ? READ_WAIT : Duration.ZERO;
        mOwner.handle(
                mLog.read(STREAM, verify ? next - 1 : next, READ_LIMIT, wait),
                (result, error) -> {
                    if (asked != mTakeovers) {
                        return;
                    }
                    if (error != null) {
                        mVerify = true;
                        retry("Reading failed", error, this::poll);
                    } else if (mState.logOffset() != next) {
                        // A peer's entries came meanwhile; the answer is older than they are.
                        poll();
                    } else {
                        received(result, verify);
                    }
                });
    }

    private void received(ReadResult r, boolean verify) {
        mBackoff.reset();
        long next = mState.logOffset();
        if (r.oldest() > next) {
            behind();
        } else if (r.end() < next) {
            shortened(r);
        } else if (verify && r.oldest() < next && !holdsLast(r, next)) {
            shortened(r);
        } else {
            mVerify = false;
            setMode(FollowMode.FOLLOWING);
            if (foldAll(r.entries())) {
                poll();
            }
        }
    }

    private boolean holdsLast(ReadResult r, long next) {
        return r.entries().stream()
                .filter(e -> e.offset() == next - 1)
                .findFirst()
                .map(mState::isLast)
                .orElse(false);
    }

    /** Folds what is new; false where something else has to be done before reading on. */
    private boolean foldAll(List<StoredEntry> entries) {
        long before = mState.logOffset();
        boolean goesOn = true;
        for (StoredEntry e : entries) {
            if (e.offset() == mState.logOffset()) {
                goesOn = foldNext(e);
                if (!goesOn) {
                    break;
                }
            }
        }
        if (mState.logOffset() > before) {
            mListener.changed();
        }
        return goesOn;
    }

    private boolean foldNext(StoredEntry e) {
        Optional<LogRecord> record = FollowedState.record(e);
        Optional<StateRestored> restoration = FollowedState.restoration(e);
        if (restoration.filter(this::isDue).isPresent()) {
            return restore(restoration.get(), e);
        }
        if (isStrange(record) && e.offset() != mTrusted) {
            mTrusted = e.offset();
            resume();
            return false;
        }
        fold(e, record);
        return true;
    }

    private void fold(StoredEntry e, Optional<LogRecord> record) {
        if (record.isEmpty()) {
            LOG.warn("The entry at {0} is no record", e.offset());
        }
        mListener.folded(e.id(), mState.fold(e, record));
    }

    /** A record made from another past; either its writer or this process is wrong. */
    private boolean isStrange(Optional<LogRecord> record) {
        return record.map(LogRecord::basis).filter(mState.fleet()::conflictsWith).isPresent();
    }

    /**
     * The first restoration of its number counts, unless the log still holds what it restores: its
     * writer was told too short an end.
     */
    private boolean isDue(StateRestored r) {
        Basis restored = new Basis(r.nextOffset(), r.digest());
        return r.replaces() == mState.restorations() && mState.fleet().conflictsWith(restored);
    }

    /** Goes on from a restored state; false while its snapshot has to be loaded first. */
    boolean restore(StateRestored r, StoredEntry entry) {
        Basis here = mState.fleet().basis();
        if (here.equals(new Basis(r.nextOffset(), r.digest()))) {
            mState.restoredAt(entry);
            restored();
            return true;
        }
        int asked = mTakeovers;
        mOwner.handle(
                mStore.named(r.snapshot()),
                (found, error) -> {
                    if (asked != mTakeovers) {
                        return;
                    }
                    if (error == null && found.isPresent()) {
                        restoreFrom(found.get(), entry);
                    } else {
                        retry("A restored state is not found", error, () -> restore(r, entry));
                    }
                });
        return false;
    }

    private void restoreFrom(StoredState stored, StoredEntry entry) {
        List<LogRecord> missing = mState.adoptRestored(stored, entry);
        mTakeovers++;
        restored();
        mListener.changed();
        mListener.missing(missing);
        poll();
    }

    private void restored() {
        mVerify = false;
        LOG.warn(
                "The log goes on from the restored state at version {0}",
                mState.fleet().nextOffset());
        setMode(FollowMode.FOLLOWING);
    }

    private void behind() {
        setMode(FollowMode.BEHIND);
        int asked = mTakeovers;
        mOwner.handle(
                mStore.newest(),
                (found, error) -> {
                    if (asked != mTakeovers) {
                        return;
                    }
                    Optional<StoredState> newer =
                            error != null
                                    ? Optional.empty()
                                    : found.filter(
                                            s -> s.position().compareTo(mState.position()) > 0);
                    if (newer.isPresent()) {
                        take(newer.get());
                    } else {
                        retry("Records expired that no snapshot covers", error, this::poll);
                    }
                });
    }

    private void shortened(ReadResult r) {
        setMode(FollowMode.RESTORING);
        mRepair.begin(r.oldest(), r.end());
    }

    void retry(String what, Throwable error, Runnable again) {
        long pause = mBackoff.next();
        String cause = error == null ? "" : ": " + error.getMessage();
        LOG.warn("{0}; next try in {1} ms{2}", what, pause, cause);
        int asked = mTakeovers;
        mOwner.later(
                () -> {
                    if (asked == mTakeovers) {
                        again.run();
                    }
                },
                pause);
    }

    private void setMode(FollowMode mode) {
        if (mode != mMode) {
            mMode = mode;
            LOG.info("{0}", mode.text());
            mListener.mode(mode);
        }
    }
}
