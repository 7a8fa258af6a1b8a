package org.foxtailplank.internal.admission;

import java.util.ArrayDeque;

/** Waiting requests of one team in one class, first come first served. */
final class TeamQueue<T> {

    private final ArrayDeque<Ticket<T>> mTickets = new ArrayDeque<>();
    private final double mQuota;
    private double mServed;

    TeamQueue(double quota) {
        mQuota = quota;
    }

    ArrayDeque<Ticket<T>> tickets() {
        return mTickets;
    }

    double quota() {
        return mQuota;
    }

    /** Requests served so far in relation to the quota; the team with the least goes next. */
    double served() {
        return mServed;
    }

    void serve() {
        mServed += 1 / mQuota;
    }

    /** A team that was away earns no credit for that time. */
    void catchUp(double served) {
        mServed = Math.max(mServed, served);
    }
}
