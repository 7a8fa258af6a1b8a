package org.foxtailplank.wire.internal.peer;

import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import org.foxtailplank.internal.membership.Backoff;
import org.foxtailplank.internal.membership.ConnectRateLimiter;
import org.foxtailplank.internal.membership.SilenceLimits;
import org.foxtailplank.membership.Incarnation;
import org.foxtailplank.membership.PeerIdentity;
import org.foxtailplank.wire.DisconnectReason;

/** Outgoing connections of this node, one per address. */
final class OutgoingLinks {

    private static final long INITIAL_BACKOFF_NANOS = 50_000_000L;
    private static final long MAX_BACKOFF_NANOS = 400_000_000L;

    private final Map<InetSocketAddress, OutgoingLink> mLinks = new LinkedHashMap<>();
    private final Function<InetSocketAddress, ChannelFuture> mConnect;
    private final SilenceLimits mLimits;
    private final ConnectRateLimiter mConnectRateLimiter;
    private final Random mRandom;

    OutgoingLinks(
            Function<InetSocketAddress, ChannelFuture> connect,
            SilenceLimits limits,
            ConnectRateLimiter connectRateLimiter,
            Random random) {
        mConnect = connect;
        mLimits = limits;
        mConnectRateLimiter = connectRateLimiter;
        mRandom = random;
    }

    /** Opens links to new addresses and closes those to all other addresses. */
    void retain(Set<InetSocketAddress> addresses, long now) {
        mLinks.values().removeIf(link -> !addresses.contains(link.address()) && closeIfOpen(link));
        for (InetSocketAddress address : addresses) {
            mLinks.computeIfAbsent(address, a -> newLink(a, now));
        }
    }

    /** Closes stalled connections and reconnects links that are due, longest due first. */
    void maintain(long now) {
        for (OutgoingLink link : mLinks.values()) {
            link.session().ifPresent(session -> disconnectIfStalled(link, session, now));
        }
        List<OutgoingLink> due =
                mLinks.values().stream()
                        .filter(link -> link.isDue(now))
                        .sorted(Comparator.comparingLong(OutgoingLink::nextAttemptAt))
                        .toList();
        for (OutgoingLink link : due) {
            if (!mConnectRateLimiter.tryAcquire(now)) {
                return;
            }
            connect(link);
        }
    }

    /** Registers an authenticated connection; false if its address is not needed any more. */
    boolean onOpened(Session session, long now) {
        OutgoingLink link = mLinks.get(session.remote());
        if (link == null) {
            session.close();
            return false;
        }
        link.onOpened(session, now);
        return true;
    }

    /** Reconnects soon to a peer that is known to be reachable. */
    void retrySoon(PeerIdentity peer, long now) {
        for (OutgoingLink link : mLinks.values()) {
            if (link.lastReached(peer.incarnation()) || link.address().equals(peer.address())) {
                link.retrySoon(now);
            }
        }
    }

    /** Returns the links with an open connection. */
    Set<OutgoingLink> open() {
        Set<OutgoingLink> open = new LinkedHashSet<>();
        for (OutgoingLink link : mLinks.values()) {
            if (link.session().isPresent()) {
                open.add(link);
            }
        }
        return open;
    }

    Optional<OutgoingLink> find(Session session) {
        return mLinks.values().stream()
                .filter(link -> link.session().equals(Optional.of(session)))
                .findFirst();
    }

    Optional<Session> sessionTo(Incarnation incarnation) {
        return mLinks.values().stream()
                .flatMap(link -> link.session().stream())
                .filter(session -> session.peer().incarnation().equals(incarnation))
                .findFirst();
    }

    private OutgoingLink newLink(InetSocketAddress address, long now) {
        return new OutgoingLink(
                address, new Backoff(INITIAL_BACKOFF_NANOS, MAX_BACKOFF_NANOS, mRandom), now);
    }

    private static boolean closeIfOpen(OutgoingLink link) {
        link.session().ifPresent(Session::close);
        return true;
    }

    /**
     * Closes a connection without progress.
     *
     * <p>If packets are dropped in either direction, TCP would keep the connection for minutes and
     * recover only at its next retransmission.
     */
    private void disconnectIfStalled(OutgoingLink link, Session session, long now) {
        if (link.isUnconfirmedFor(mLimits.awayNanos(), now)) {
            session.disconnect(DisconnectReason.SILENT);
        } else if (session.isBlockedFor(mLimits.awayNanos(), now)) {
            session.disconnect(DisconnectReason.SLOW_READER);
        }
    }

    private void connect(OutgoingLink link) {
        link.onConnecting();
        ChannelFuture connected = mConnect.apply(link.address());
        connected.channel().closeFuture().addListener(closed -> link.onClosed(System.nanoTime()));
    }
}
