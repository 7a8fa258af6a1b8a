package org.foxtailplank.wire.internal.peer;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.foxtailplank.internal.membership.Backoff;
import org.foxtailplank.membership.Incarnation;

/** This node's own connection to one address, and when to try it again. */
final class Link {

    private final InetSocketAddress mAddress;
    private final Backoff mBackoff;
    private Optional<Session> mSession = Optional.empty();
    private Optional<Incarnation> mLastPeer = Optional.empty();
    private boolean mConnecting;
    private long mTryAt;
    private long mAwaitedAsk;
    private long mAwaitedSince;
    private long mConfirmedAt;

    Link(InetSocketAddress address, Backoff backoff, long tryAt) {
        mAddress = address;
        mBackoff = backoff;
        mTryAt = tryAt;
    }

    InetSocketAddress address() {
        return mAddress;
    }

    Optional<Session> session() {
        return mSession;
    }

    long tryAt() {
        return mTryAt;
    }

    boolean isDue(long now) {
        return mSession.isEmpty() && !mConnecting && now >= mTryAt;
    }

    boolean leadsTo(Incarnation incarnation) {
        return mLastPeer.equals(Optional.of(incarnation));
    }

    void connecting() {
        mConnecting = true;
    }

    void opened(Session session, long now) {
        mSession = Optional.of(session);
        mLastPeer = Optional.of(session.peer().incarnation());
        mAwaitedAsk = 0;
        mConfirmedAt = now;
        mBackoff.reset();
    }

    void closed(long now) {
        mConnecting = false;
        mSession = Optional.empty();
        mTryAt = now + mBackoff.next();
    }

    /** The peer is known to be there again: try soon, from the shortest wait on. */
    void hurry(long now) {
        if (mSession.isEmpty()) {
            mBackoff.reset();
            mTryAt = Math.min(mTryAt, now + mBackoff.next());
        }
    }

    /** Whether the next heartbeat is to be confirmed. */
    boolean wantsConfirmation(long afterNanos, long now) {
        return mAwaitedAsk == 0 && now - mConfirmedAt > afterNanos;
    }

    void await(long ask, long now) {
        mAwaitedAsk = ask;
        mAwaitedSince = now;
    }

    boolean confirmed(long ask, long now) {
        if (ask != mAwaitedAsk) {
            return false;
        }
        mAwaitedAsk = 0;
        mConfirmedAt = now;
        return true;
    }

    boolean isUnconfirmedFor(long nanos, long now) {
        return mAwaitedAsk != 0 && now - mAwaitedSince > nanos;
    }
}
