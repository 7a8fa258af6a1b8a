package org.foxtailplank.wire;

/** Kind of failure of a message to a peer, by whether the peer may have acted on it. */
public enum PeerFailure {
    /** The message was not sent. */
    NOT_SENT("was not sent"),
    /** The peer refused the message without acting on it. */
    REFUSED("was refused by the peer"),
    /** No answer was received; the peer may have acted on the message. */
    NO_ANSWER("was not answered");

    private final String mText;

    PeerFailure(String text) {
        mText = text;
    }

    /** Returns whether the peer has definitely not acted on the message. */
    public boolean isDefinitelyNotExecuted() {
        return this != NO_ANSWER;
    }

    /** Returns the failure as a verb phrase for error messages. */
    public String text() {
        return mText;
    }
}
