package org.foxtailplank.wire;

/** The link to the peers cannot start. */
public final class PeerLinkException extends Exception {

    private static final long serialVersionUID = 1;

    public PeerLinkException(String message, Throwable cause) {
        super(message, cause);
    }
}
