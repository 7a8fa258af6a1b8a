package org.foxtailplank.wire.internal.peer;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Optional;
import javax.crypto.Mac;

/**
 * Puts a MAC on each frame of one connection and checks it.
 *
 * <p>The MAC covers a sequence number that is counted at both ends and never sent. It guards
 * against a frame that is made up, changed, played back, left out or swapped by somebody on the
 * way: the numbers no longer agree, so the MAC is wrong and the connection is cut.
 */
final class FrameSeal {

    static final int MAC_BYTES = 16;

    private final Mac mOut;
    private final Mac mIn;
    private long mSent;
    private long mReceived;

    FrameSeal(Mac out, Mac in) {
        mOut = out;
        mIn = in;
    }

    /** The message with its MAC behind it. */
    byte[] seal(byte[] message) {
        byte[] frame = Arrays.copyOf(message, message.length + MAC_BYTES);
        byte[] mac = mac(mOut, mSent++, message, message.length);
        System.arraycopy(mac, 0, frame, message.length, MAC_BYTES);
        return frame;
    }

    /** The message of a frame, if its MAC is right. */
    Optional<byte[]> open(byte[] frame) {
        int length = frame.length - MAC_BYTES;
        if (length < 0) {
            return Optional.empty();
        }
        byte[] expected = Arrays.copyOf(mac(mIn, mReceived++, frame, length), MAC_BYTES);
        byte[] found = Arrays.copyOfRange(frame, length, frame.length);
        if (!MessageDigest.isEqual(expected, found)) {
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
