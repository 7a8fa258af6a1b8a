package org.foxtailplank.internal.admission;

import java.util.ArrayDeque;

/** FIFO queue of the requests of one team in one class. */
final class TeamQueue<T> {

    private final ArrayDeque<QueuedRequest<T>> mRequests = new ArrayDeque<>();
    private final double mQuota;
    private double mVirtualTime;

    TeamQueue(double quota) {
        mQuota = quota;
    }

    ArrayDeque<QueuedRequest<T>> requests() {
        return mRequests;
    }

    double quota() {
        return mQuota;
    }

    /** Requests served divided by the quota; the team with the lowest value is next. */
    double virtualTime() {
        return mVirtualTime;
    }

    void advance() {
        mVirtualTime += 1 / mQuota;
    }

    /** Advances the virtual time, so that an idle team accumulates no credit. */
    void advanceTo(double virtualTime) {
        mVirtualTime = Math.max(mVirtualTime, virtualTime);
    }
}
