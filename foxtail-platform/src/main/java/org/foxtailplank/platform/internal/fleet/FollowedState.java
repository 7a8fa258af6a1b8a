package org.foxtailplank.platform.internal.fleet;

import java.util.List;
import java.util.Optional;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.platform.StoredEntry;
import org.foxtailplank.state.Basis;
import org.foxtailplank.state.FleetState;
import org.foxtailplank.state.LogRecord;
import org.foxtailplank.state.StatePosition;
import org.foxtailplank.state.StateRestored;
import org.foxtailplank.state.Verdict;
import org.foxtailplank.wire.RecordCodec;
import org.foxtailplank.wire.RecordFormatException;
import org.foxtailplank.wire.StoredState;

/**
 * The folded state and its place in the log; owned by one thread.
 *
 * <p>The state counts offsets on across a restoration, so that versions never shrink; the log's own
 * offset is kept beside it.
 */
final class FollowedState {
    private final RecentEntries mRecent = new RecentEntries();
    private FleetState mState = new FleetState();
    private Optional<RecordId> mLast = Optional.empty();
    private long mRestorations;
    private long mLogOffset = 1;

    FleetState fleet() {
        return mState;
    }

    RecentEntries recent() {
        return mRecent;
    }

    long restorations() {
        return mRestorations;
    }

    /** Offset in the log of the next entry. */
    long logOffset() {
        return mLogOffset;
    }

    StatePosition position() {
        Basis b = mState.basis();
        return new StatePosition(mRestorations, b.offset(), b.digest());
    }

    /** The state for storing; empty while parts of it are not understood. */
    Optional<StoredState> stored() {
        return mState.snapshot().map(s -> new StoredState(mRestorations, mLogOffset, s));
    }

    /** Takes another state as a whole. */
    void adopt(StoredState stored) {
        mState = FleetState.of(stored.state());
        mRestorations = stored.restorations();
        mLogOffset = stored.logOffset();
        mLast = Optional.empty();
        mRecent.clear();
    }

    /** Goes on after a restoration whose state is the one held here. */
    void restoredAt(StoredEntry entry) {
        mRestorations++;
        mLogOffset = entry.offset() + 1;
        mLast = Optional.of(entry.id());
        mRecent.clear();
    }

    /** Folds the next entry. */
    Verdict fold(StoredEntry entry, Optional<LogRecord> record) {
        StatePosition before = position();
        long at = mState.nextOffset();
        mLogOffset = entry.offset() + 1;
        mLast = Optional.of(entry.id());
        boolean foldable = record.filter(r -> !(r.change() instanceof StateRestored)).isPresent();
        Verdict v = foldable ? mState.apply(at, record.get()) : mState.skip(at, entry.id());
        mRecent.add(before, entry, v.isApplied());
        return v;
    }

    /**
     * Takes a restored state as a whole.
     *
     * @return records that took effect here and that it does not hold
     */
    List<LogRecord> adoptRestored(StoredState stored, StoredEntry restoration) {
        List<RecentEntries.Recent> applied = mRecent.applied();
        adopt(stored);
        List<LogRecord> missing =
                applied.stream()
                        .filter(r -> !mState.mayContain(r.entry().id(), r.before().nextOffset()))
                        .flatMap(r -> record(r.entry()).stream())
                        .toList();
        restoredAt(restoration);
        return missing;
    }

    /** Whether the entry before the next one is the one that was folded last. */
    boolean isLast(StoredEntry entry) {
        if (mLast.isPresent()) {
            return mLast.get().equals(entry.id());
        }
        boolean restored =
                restoration(entry).map(r -> r.replaces() + 1 == mRestorations).orElse(false);
        return restored || mState.endsWith(entry.id());
    }

    /** Whether an older entry of the log may be one that was folded. */
    boolean mayHold(StoredEntry entry) {
        long back = mLogOffset - entry.offset();
        return mState.mayContain(entry.id(), mState.nextOffset() - back);
    }

    /** The record in an entry; empty for bytes that are none. */
    static Optional<LogRecord> record(StoredEntry entry) {
        try {
            return Optional.of(RecordCodec.decode(entry.data()));
        } catch (RecordFormatException e) {
            return Optional.empty();
        }
    }

    /** The restoration in an entry. */
    static Optional<StateRestored> restoration(StoredEntry entry) {
        return record(entry)
                .map(LogRecord::change)
                .filter(StateRestored.class::isInstance)
                .map(StateRestored.class::cast);
    }
}
