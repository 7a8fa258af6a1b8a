package org.foxtailplank.internal.log;

import java.util.List;
import java.util.Optional;

/**
 * Where a reader of a stream stands.
 *
 * <p>Guards against a log that comes back from an outage empty, shorter, or refilled by others: a
 * reader that went on from its offset would miss records or mix two histories, and one that started
 * again at 1 would take an empty log for an empty configuration. After each failed call the reader
 * reads its last record once more and compares its id. It never moves by itself when something does
 * not fit; its owner must say where it goes on.
 */
public final class FollowPosition {

    private long mNext;
    private Optional<LogItem> mLast = Optional.empty();
    private boolean mVerify;

    /** A reader whose next offset is this one. */
    public FollowPosition(long next) {
        mNext = next;
    }

    /** The offset to read from now; that of the last record where it has to be compared. */
    public long readFrom() {
        return mVerify ? mLast.map(LogItem::offset).orElse(mNext) : mNext;
    }

    /** The offset after the last record that was read. */
    public long next() {
        return mNext;
    }

    /** A read failed, so records may be gone when the platform is back. */
    public void failed() {
        mVerify = true;
    }

    /** Goes on at another offset, for example that of a snapshot. */
    public void moveTo(long next) {
        mNext = next;
        mLast = Optional.empty();
        mVerify = false;
    }

    /** Judges a page that was read from {@link #readFrom}, and goes past it where it follows. */
    public FollowOutcome read(LogPage page) {
        FollowOutcome outcome = judge(page);
        if (outcome instanceof FollowOutcome.Follows follows) {
            mVerify = false;
            for (LogItem item : follows.fresh()) {
                mNext = item.offset() + 1;
                mLast = Optional.of(item);
            }
        } else {
            mVerify = true;
        }
        return outcome;
    }

    private FollowOutcome judge(LogPage page) {
        if (page.end() < mNext) {
            return new FollowOutcome.CameBackShorter(mNext, page.end());
        }
        if (page.oldest() > mNext) {
            return new FollowOutcome.BehindHorizon(mNext, page.oldest());
        }
        if (mVerify && mLast.isPresent() && page.oldest() < mNext) {
            LogItem last = mLast.get();
            if (page.items().isEmpty() || !page.items().get(0).equals(last)) {
                return new FollowOutcome.Rewritten(last.offset(), last.id());
            }
        }
        List<LogItem> fresh = page.items().stream().filter(i -> i.offset() >= mNext).toList();
        return new FollowOutcome.Follows(fresh);
    }
}
