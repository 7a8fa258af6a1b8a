package org.foxtailplank.wire.internal.peer;

import org.foxtailplank.membership.PeerIdentity;
import org.foxtailplank.wire.PeerLinkLimits;
import org.foxtailplank.wire.generated.peer.EnvelopeProto;

/** Whom connections tell what happens on them; always on the link's one thread. */
interface SessionOwner {

    PeerIdentity self();

    PeerKey key();

    PeerLinkLimits limits();

    Counters counters();

    /** Whether one more connection may begin to prove its identity. */
    boolean admitUnproved();

    /** Such a connection has proved its identity or is closed. */
    void unprovedDone();

    void opened(Session session);

    void received(Session session, EnvelopeProto envelope);

    void closed(Session session);
}
