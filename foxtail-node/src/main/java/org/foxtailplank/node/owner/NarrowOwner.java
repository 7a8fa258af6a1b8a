package org.foxtailplank.node.owner;

import org.foxtailplank.node.LinkRate;

/**
 * Decides when an owner with a narrow link gives its place up.
 *
 * <p>Guards against a node that became the owner while others were slow to try, and stays it: its
 * link and its processor can't carry a queue's turn, its orders and looks time out, and what runs
 * is taken as lapsed and started a second time.
 */
public final class NarrowOwner {
    /** A follower that has said for so long that it could own is believed, in milliseconds. */
    private static final long STANDBY_MS = 1000;

    /** An owner stays for so long at least, in milliseconds: a take-over has its price. */
    private static final long STAY_MS = 2000;

    /**
     * Pause between two times that a node gives its place up, in milliseconds: a follower that says
     * that it could own may fail to take it.
     */
    private static final long PAUSE_MS = 30_000;

    private final boolean mAmple;
    private long mOwnsSinceMs;
    private long mGaveUpMs = Long.MIN_VALUE / 2;

    /** For a node with a link. */
    public NarrowOwner(LinkRate link) {
        mAmple = link.isAmple();
    }

    /** This node owns from now on. */
    public void owns(long nowMs) {
        mOwnsSinceMs = nowMs;
    }

    /**
     * Whether this node, which owns, gives its place up now.
     *
     * @param standbyMs when a follower with an ample link last said that it could own
     */
    public boolean givesUp(long standbyMs, long nowMs) {
        boolean due =
                !mAmple
                        && nowMs - standbyMs < STANDBY_MS
                        && nowMs - mOwnsSinceMs >= STAY_MS
                        && nowMs - mGaveUpMs >= PAUSE_MS;
        if (due) {
            mGaveUpMs = nowMs;
        }
        return due;
    }
}
