package org.foxtailplank.wire.internal.peer;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.foxtailplank.internal.membership.Backoff;
import org.foxtailplank.membership.Incarnation;

/** Outgoing connection to one address, with reconnect back-off. */
final class OutgoingLink {

    private final InetSocketAddress mAddress;
    private final Backoff mBackoff;
    private Optional<Session> mSession = Optional.empty();
    private Optional<Incarnation> mLastPeer = Optional.empty();
    private boolean mConnecting;
    private long mNextAttemptAt;
    private long mAwaitedRequest;
    private long mAwaitedSince;
    private long mConfirmedAt;

    OutgoingLink(InetSocketAddress address, Backoff backoff, long nextAttemptAt) {
        mAddress = address;
        mBackoff = backoff;
        mNextAttemptAt = nextAttemptAt;
    }

    InetSocketAddress address() {
        return mAddress;
    }

    Optional<Session> session() {
        return mSession;
    }

    long nextAttemptAt() {
        return mNextAttemptAt;
    }

    boolean isDue(long now) {
        return mSession.isEmpty() && !mConnecting && now >= mNextAttemptAt;
    }

    boolean lastReached(Incarnation incarnation) {
        return mLastPeer.equals(Optional.of(incarnation));
    }

    void onConnecting() {
        mConnecting = true;
    }

    void onOpened(Session session, long now) {
        mSession = Optional.of(session);
        mLastPeer = Optional.of(session.peer().incarnation());
        mAwaitedRequest = 0;
        mConfirmedAt = now;
        mBackoff.reset();
    }

    void onClosed(long now) {
        mConnecting = false;
        mSession = Optional.empty();
        mNextAttemptAt = now + mBackoff.next();
    }

    /** Resets the back-off, since the peer is known to be reachable. */
    void retrySoon(long now) {
        if (mSession.isEmpty()) {
            mBackoff.reset();
            mNextAttemptAt = Math.min(mNextAttemptAt, now + mBackoff.next());
        }
    }

    /** Returns whether the next heartbeat must request a confirmation. */
    boolean needsConfirmation(long afterNanos, long now) {
        return mAwaitedRequest == 0 && now - mConfirmedAt > afterNanos;
    }

    void awaitConfirmation(long request, long now) {
        mAwaitedRequest = request;
        mAwaitedSince = now;
    }

    boolean onConfirmation(long request, long now) {
        if (request != mAwaitedRequest) {
            return false;
        }
        mAwaitedRequest = 0;
        mConfirmedAt = now;
        return true;
    }

    boolean isUnconfirmedFor(long nanos, long now) {
        return mAwaitedRequest != 0 && now - mAwaitedSince > nanos;
    }
}
