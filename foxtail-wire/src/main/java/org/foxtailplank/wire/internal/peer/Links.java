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
import org.foxtailplank.internal.membership.SilenceLimits;
import org.foxtailplank.internal.membership.TryBudget;
import org.foxtailplank.membership.Incarnation;
import org.foxtailplank.membership.PeerIdentity;
import org.foxtailplank.wire.CutReason;

/** The connections that this node makes, one to each address. */
final class Links {

    private static final long FIRST_WAIT_NANOS = 50_000_000L;
    private static final long MAX_WAIT_NANOS = 400_000_000L;

    private final Map<InetSocketAddress, Link> mLinks = new LinkedHashMap<>();
    private final Function<InetSocketAddress, ChannelFuture> mConnect;
    private final SilenceLimits mLimits;
    private final TryBudget mTries;
    private final Random mRandom;

    Links(
            Function<InetSocketAddress, ChannelFuture> connect,
            SilenceLimits limits,
            TryBudget tries,
            Random random) {
        mConnect = connect;
        mLimits = limits;
        mTries = tries;
        mRandom = random;
    }

    /** Keeps links to just these addresses. */
    void keep(Set<InetSocketAddress> addresses, long now) {
        mLinks.values().removeIf(link -> !addresses.contains(link.address()) && closeIfOpen(link));
        for (InetSocketAddress address : addresses) {
            mLinks.computeIfAbsent(address, a -> newLink(a, now));
        }
    }

    /** Cuts links that have gone quiet and tries those that are due, longest due first. */
    void maintain(long now) {
        for (Link link : mLinks.values()) {
            link.session().ifPresent(session -> check(link, session, now));
        }
        List<Link> due =
                mLinks.values().stream()
                        .filter(link -> link.isDue(now))
                        .sorted(Comparator.comparingLong(Link::tryAt))
                        .toList();
        for (Link link : due) {
            if (!mTries.take(now)) {
                return;
            }
            connect(link);
        }
    }

    /** A connection of this node has been proved; false when its address is wanted no more. */
    boolean opened(Session session, long now) {
        Link link = mLinks.get(session.remote());
        if (link == null) {
            session.close();
            return false;
        }
        link.opened(session, now);
        return true;
    }

    /** Tries soon to reach a peer that is known to be there. */
    void hurry(PeerIdentity peer, long now) {
        for (Link link : mLinks.values()) {
            if (link.leadsTo(peer.incarnation()) || link.address().equals(peer.address())) {
                link.hurry(now);
            }
        }
    }

    /** Links on which a heartbeat can be sent. */
    Set<Link> open() {
        Set<Link> open = new LinkedHashSet<>();
        for (Link link : mLinks.values()) {
            if (link.session().isPresent()) {
                open.add(link);
            }
        }
        return open;
    }

    Optional<Link> of(Session session) {
        return mLinks.values().stream()
                .filter(link -> link.session().equals(Optional.of(session)))
                .findFirst();
    }

    Optional<Session> to(Incarnation incarnation) {
        return mLinks.values().stream()
                .flatMap(link -> link.session().stream())
                .filter(session -> session.peer().incarnation().equals(incarnation))
                .findFirst();
    }

    private Link newLink(InetSocketAddress address, long now) {
        return new Link(address, new Backoff(FIRST_WAIT_NANOS, MAX_WAIT_NANOS, mRandom), now);
    }

    private static boolean closeIfOpen(Link link) {
        link.session().ifPresent(Session::close);
        return true;
    }

    /**
     * Cuts a connection on which nothing gets through.
     *
     * <p>Guards against a path that drops packets in one direction or both: TCP would keep the
     * connection for minutes, and after the path heals would wait for its next retransmission.
     */
    private void check(Link link, Session session, long now) {
        if (link.isUnconfirmedFor(mLimits.awayNanos(), now)) {
            session.cut(CutReason.SILENT);
        } else if (session.isBlockedFor(mLimits.awayNanos(), now)) {
            session.cut(CutReason.SLOW_READER);
        }
    }

    private void connect(Link link) {
        link.connecting();
        ChannelFuture connected = mConnect.apply(link.address());
        connected.channel().closeFuture().addListener(closed -> link.closed(System.nanoTime()));
    }
}
