package org.foxtailplank.wire;

import org.foxtailplank.id.NodeId;

/** Thrown when a message to a peer fails. */
public final class PeerException extends Exception {

    private static final long serialVersionUID = 1;

    private final PeerFailure mFailure;

    public PeerException(NodeId peer, PeerFailure failure, String reason) {
        super("A message to node " + peer + " " + failure.text() + ": " + reason + ".");
        mFailure = failure;
    }

    /** Returns the kind of failure, which tells whether the peer may have acted on the message. */
    public PeerFailure failure() {
        return mFailure;
    }
}
