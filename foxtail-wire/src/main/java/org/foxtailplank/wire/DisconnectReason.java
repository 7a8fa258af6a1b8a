package org.foxtailplank.wire;

/** Reason why this node closed the connection of a peer. */
public enum DisconnectReason {
    /** The proof of the shared key is wrong. */
    WRONG_KEY("it does not prove the shared key"),
    /** The MAC of a frame is wrong: the frame is forged, replayed or out of order. */
    INVALID_MAC("a message is forged, replayed or out of order"),
    /** The bytes of a frame are not a valid message. */
    MALFORMED("it sent a malformed message"),
    /** A frame exceeds the size limit. */
    OVERSIZED("it sent a frame over the size limit"),
    /** The peer has another protocol version, an invalid identity, or is this process itself. */
    INCOMPATIBLE("it is not a compatible peer"),
    /** The handshake timed out. */
    HANDSHAKE_TIMEOUT("the handshake timed out"),
    /** The limit of connections is reached. */
    TOO_MANY_CONNECTIONS("there are too many connections"),
    /** The peer does not read, so that the send buffer stays full. */
    SLOW_READER("it does not read what it is sent"),
    /** The peer has not confirmed or not sent heartbeats. */
    SILENT("it is silent"),
    /** A newer connection of the same process replaced this one. */
    SUPERSEDED("a newer connection replaced it");

    private final String mText;

    DisconnectReason(String text) {
        mText = text;
    }

    /** Returns the reason as a clause for log messages. */
    public String text() {
        return mText;
    }
}
