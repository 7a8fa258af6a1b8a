package org.foxtailplank.wire;

/** Why a connection of a peer was cut. */
public enum CutReason {
    /** It does not prove the shared key. */
    BAD_KEY("it does not prove the shared key"),
    /** Its MAC is wrong: forged, replayed or out of order. */
    FORGED("a message is forged, replayed or out of order"),
    /** Its bytes are no message. */
    GARBAGE("it sent bytes that are no message"),
    /** A frame is over the limit. */
    OVERSIZED("it sent a frame over the limit"),
    /** It speaks another protocol version, or is this node itself. */
    NOT_A_PEER("it is no peer of this node"),
    /** It did not finish its handshake in time. */
    HANDSHAKE_TIMEOUT("it did not prove its identity in time"),
    /** There are too many connections. */
    TOO_MANY("there are too many connections"),
    /** It takes nothing in. */
    SLOW_READER("it does not read what it is sent"),
    /** It has not confirmed a heartbeat, or sent none. */
    SILENT("it is silent"),
    /** A newer connection of the same process has taken its place. */
    SUPERSEDED("a newer connection has taken its place");

    private final String mText;

    CutReason(String text) {
        mText = text;
    }

    /** The reason, as part of a sentence. */
    public String text() {
        return mText;
    }
}
