package org.foxtailplank.wire.internal.peer;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Optional;
import javax.crypto.Mac;

/**
 * Signs and verifies the frames of one connection with a MAC.
 *
 * <p>The MAC covers an implicit sequence number, so that forged, modified, replayed, omitted and
 * reordered frames are all detected.
 */
final class FrameAuthenticator {

    static final int MAC_BYTES = 16;

    private final Mac mOut;
    private final Mac mIn;
    private long mSent;
    private long mReceived;

    FrameAuthenticator(Mac out, Mac in) {
        mOut = out;
        mIn = in;
    }

    /** Returns the message followed by its MAC. */
    byte[] sign(byte[] message) {
        byte[] frame = Arrays.copyOf(message, message.length + MAC_BYTES);
        byte[] mac = mac(mOut, mSent++, message, message.length);
        System.arraycopy(mac, 0, frame, message.length, MAC_BYTES);
        return frame;
    }

    /** Returns the message of a frame, or empty if its MAC is wrong. */
    Optional<byte[]> verify(byte[] frame) {
        int length = frame.length - MAC_BYTES;
        if (length < 0) {
            return Optional.empty();
        }
        byte[] expected = Arrays.copyOf(mac(mIn, mReceived++, frame, length), MAC_BYTES);
        byte[] actual = Arrays.copyOfRange(frame, length, frame.length);
        if (!MessageDigest.isEqual(expected, actual)) {
            return Optional.empty();
        }
        return Optional.of(Arrays.copyOf(frame, length));
    }

    private static byte[] mac(Mac mac, long sequence, byte[] bytes, int length) {
        mac.update(ByteBuffer.allocate(Long.BYTES).putLong(sequence).array());
        mac.update(bytes, 0, length);
        return mac.doFinal();
    }
}
