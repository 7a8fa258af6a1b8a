package org.foxtailplank.internal.routing;

/** How an attempt at an instance ended, as far as routing cares. */
public enum AttemptEnd {
    /** A whole answer that is no server error. */
    GOOD(true, false),
    /** A whole answer that is a server error. */
    SERVER_ERROR(false, false),
    /** The instance said that it has no room. */
    BUSY(true, false),
    /** The connection broke, or the answer did not come in time. */
    BROKEN(false, false),
    /** No connection could be had in time; nothing was sent. */
    NOT_CONNECTED(false, false),
    /** Nobody listens at the instance's address; nothing was sent. */
    REFUSED(false, true);

    private final boolean mHealthy;
    private final boolean mGone;

    AttemptEnd(boolean healthy, boolean gone) {
        mHealthy = healthy;
        mGone = gone;
    }

    /** Whether it speaks for the instance. */
    boolean healthy() {
        return mHealthy;
    }

    /** Whether it is certain that nothing was sent. */
    public boolean nothingSent() {
        return this == NOT_CONNECTED || this == REFUSED;
    }

    /** Whether the instance is to get nothing until its health answer says that it serves. */
    boolean gone() {
        return mGone;
    }
}
