package org.foxtailplank.wire;

/** Thrown when a peer link cannot be started. */
public final class PeerLinkException extends Exception {

    private static final long serialVersionUID = 1;

    public PeerLinkException(String message, Throwable cause) {
        super(message, cause);
    }
}
