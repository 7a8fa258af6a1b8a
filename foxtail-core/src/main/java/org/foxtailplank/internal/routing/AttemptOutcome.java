package org.foxtailplank.internal.routing;

/** Outcome of an attempt at an instance, as far as it affects routing. */
public enum AttemptOutcome {
    /** A complete response without a server error. */
    SUCCESS(true, false),
    /** A complete response with a server error. */
    SERVER_ERROR(false, false),
    /** The instance rejected the request because it has no capacity. */
    BUSY(true, false),
    /** The connection failed or the response timed out. */
    NO_RESPONSE(false, false),
    /** No connection became available in time; nothing was sent. */
    NOT_CONNECTED(false, false),
    /** The instance refused the connection; nothing was sent. */
    REFUSED(false, true);

    private final boolean mInstanceHealthy;
    private final boolean mInstanceDown;

    AttemptOutcome(boolean instanceHealthy, boolean instanceDown) {
        mInstanceHealthy = instanceHealthy;
        mInstanceDown = instanceDown;
    }

    /** Returns whether the outcome counts as a success of the instance. */
    boolean isInstanceHealthy() {
        return mInstanceHealthy;
    }

    /** Returns whether the request was certainly not sent. */
    public boolean nothingSent() {
        return this == NOT_CONNECTED || this == REFUSED;
    }

    /** Returns whether the instance is unusable until a health check succeeds. */
    boolean isInstanceDown() {
        return mInstanceDown;
    }
}
