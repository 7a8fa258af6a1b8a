package org.foxtailplank.wire.internal.peer;

import org.foxtailplank.membership.PeerIdentity;
import org.foxtailplank.wire.PeerLinkLimits;
import org.foxtailplank.wire.generated.peer.EnvelopeProto;

/** Context and callbacks of connections; used only on the link's thread. */
interface SessionOwner {

    PeerIdentity self();

    PeerKey key();

    PeerLinkLimits limits();

    Counters counters();

    /** Reserves a handshake slot; false if all are in use. */
    boolean tryAdmitUnauthenticated();

    /** Releases a handshake slot after authentication or close. */
    void releaseUnauthenticated();

    void onOpened(Session session);

    void onReceived(Session session, EnvelopeProto envelope);

    void onClosed(Session session);
}
