package org.foxtailplank.wire;

/** Why a message to a peer came to nothing, and whether the peer may have acted on it. */
public enum PeerFailure {
    /** No byte of it left this node. */
    NOT_SENT("was not sent"),
    /** The peer refused it before it acted. */
    NOT_TAKEN("was refused by the peer"),
    /** It left, and no answer came: the peer may have acted. */
    NO_ANSWER("was not answered");

    private final String mText;

    PeerFailure(String text) {
        mText = text;
    }

    /** Whether the peer has certainly not acted on the message. */
    public boolean isCertainlyNotRun() {
        return this != NO_ANSWER;
    }

    /** What happened, as part of a sentence. */
    public String text() {
        return mText;
    }
}
