package org.foxtailplank.node.peer;

import org.foxtailplank.node.LinkBudget;
import org.foxtailplank.node.LinkRate;

/**
 * Limits the share of the owner's link that streamed journal records may use.
 *
 * <p>The traffic grows with jobs times followers. Without a limit, a burst of jobs would fill a
 * narrow link and delay calls to workers until their leases expire. Followers that miss records
 * read them from the store over their own links.
 */
final class StreamBudget {
    /**
     * Share of the link for records. Calls to workers and appends need about half of the link in a
     * burst; the rest takes their peaks.
     */
    private static final double LINK_SHARE = 0.25;

    /** Time whose share may be used at once, in milliseconds: about the length of a burst. */
    private static final long BURST_MS = 500;

    /**
     * How long no records are sent once the share is used up, in milliseconds. Without a pause each
     * record after a gap would make the followers read the store.
     */
    private static final long PAUSE_MS = 1000;

    private final LinkBudget mBudget;
    private long mPausedUntilMs = Long.MIN_VALUE / 2;

    StreamBudget(LinkRate link, long nowMs) {
        mBudget = new LinkBudget(link, LINK_SHARE, BURST_MS, 0, nowMs);
    }

    /** Returns whether records of this total size, over all followers, may be sent now. */
    boolean tryConsume(long bytes, long nowMs) {
        if (nowMs < mPausedUntilMs) {
            return false;
        }
        boolean allowed = mBudget.tryConsume(bytes, nowMs);
        if (!allowed) {
            mPausedUntilMs = nowMs + PAUSE_MS;
        }
        return allowed;
    }
}
