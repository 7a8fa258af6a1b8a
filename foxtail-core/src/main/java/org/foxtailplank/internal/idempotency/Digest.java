package org.foxtailplank.internal.idempotency;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * The first 128 bits of a SHA-256 digest.
 *
 * @param high first 64 bits
 * @param low next 64 bits
 */
public record Digest(long high, long low) {

    /**
     * Digests parts, each prefixed with its length so that different lists give different input.
     */
    public static Digest of(byte[]... parts) {
        MessageDigest sha = sha256();
        for (byte[] part : parts) {
            sha.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).array());
            sha.update(part);
        }
        ByteBuffer bytes = ByteBuffer.wrap(sha.digest());
        return new Digest(bytes.getLong(), bytes.getLong());
    }

    /** Digests the UTF-8 bytes of texts. */
    public static Digest ofTexts(String... parts) {
        byte[][] bytes = new byte[parts.length][];
        for (int i = 0; i < parts.length; i++) {
            bytes[i] = parts[i].getBytes(StandardCharsets.UTF_8);
        }
        return of(bytes);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
