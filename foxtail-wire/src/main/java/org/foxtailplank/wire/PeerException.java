package org.foxtailplank.wire;

import org.foxtailplank.id.NodeId;

/** A message to a peer came to nothing. */
public final class PeerException extends Exception {

    private static final long serialVersionUID = 1;

    private final PeerFailure mFailure;

    public PeerException(NodeId peer, PeerFailure failure, String why) {
        super("A message to node " + peer + " " + failure.text() + ": " + why + ".");
        mFailure = failure;
    }

    /** Whether the peer may have acted on the message. */
    public PeerFailure failure() {
        return mFailure;
    }
}
