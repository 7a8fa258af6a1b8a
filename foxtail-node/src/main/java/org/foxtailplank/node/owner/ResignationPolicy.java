package org.foxtailplank.node.owner;

import org.foxtailplank.node.LinkRate;

/**
 * Decides when an owner on a narrow (low-bandwidth) link resigns.
 *
 * <p>Such a node can become the owner if others are slow to try. When many jobs become due its link
 * and processor are overloaded, commands and polls time out, and runs are treated as expired and
 * started a second time.
 */
public final class ResignationPolicy {
    /** How long a follower's report that it could become the owner stays valid, in milliseconds. */
    private static final long STANDBY_VALID_MS = 1000;

    /** Minimum time as owner, in milliseconds, because each takeover delays jobs. */
    private static final long MIN_TENURE_MS = 2000;

    /**
     * Minimum interval between two step-downs of a node, in milliseconds: the follower that
     * reported itself able to own may fail to take over.
     */
    private static final long STEP_DOWN_INTERVAL_MS = 30_000;

    private final boolean mHasAmpleLink;
    private long mOwnerSinceMs;
    private long mSteppedDownMs = Long.MIN_VALUE / 2;

    /** Creates the policy of a node with this link. */
    public ResignationPolicy(LinkRate link) {
        mHasAmpleLink = link.isAmple();
    }

    /** Called when this node becomes the owner. */
    public void ownershipGained(long nowMs) {
        mOwnerSinceMs = nowMs;
    }

    /**
     * Whether this node, which is the owner, resigns now.
     *
     * @param standbyMs when a follower with an ample link last reported that it could become the
     *     owner
     */
    public boolean shouldResign(long standbyMs, long nowMs) {
        boolean due =
                !mHasAmpleLink
                        && nowMs - standbyMs < STANDBY_VALID_MS
                        && nowMs - mOwnerSinceMs >= MIN_TENURE_MS
                        && nowMs - mSteppedDownMs >= STEP_DOWN_INTERVAL_MS;
        if (due) {
            mSteppedDownMs = nowMs;
        }
        return due;
    }
}
