package org.foxtailplank.node.journal;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.Optional;

/**
 * Key of a journal record, under which the log retains it until the key is removed.
 *
 * <p>Records with different contents have different keys, so that no record replaces another one. A
 * record that is stored again has the same key. The records of owners share one key, since only the
 * newest one is needed.
 *
 * @param number the key's number: the first 64 bits of the content's SHA-256 digest
 */
record JournalKey(long number) {
    /** Length of the key's text; no record without a key begins with a byte of this value. */
    private static final int TEXT_BYTES = 11;

    private static final int FRAME_BYTES = 1 + TEXT_BYTES;
    private static final byte[] OWNER_TEXT = "owner-state".getBytes(StandardCharsets.US_ASCII);

    /** Returns the key of a record with this content. */
    static JournalKey of(byte[] content) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(content);
            return new JournalKey(ByteBuffer.wrap(digest).getLong());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform supports SHA-256", e);
        }
    }

    /** Returns the key of a stored record; empty for one without a key, or with that of owners. */
    static Optional<JournalKey> ofRecord(byte[] record) {
        if (!hasKey(record) || startsWithOwnerKey(record)) {
            return Optional.empty();
        }
        byte[] text = new byte[TEXT_BYTES];
        System.arraycopy(record, 1, text, 0, TEXT_BYTES);
        try {
            return Optional.of(
                    new JournalKey(ByteBuffer.wrap(Base64.getUrlDecoder().decode(text)).getLong()));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static boolean startsWithOwnerKey(byte[] record) {
        for (int i = 0; i < TEXT_BYTES; i++) {
            if (record[1 + i] != OWNER_TEXT[i]) {
                return false;
            }
        }
        return true;
    }

    /** Whether a record starts with a key. */
    static boolean hasKey(byte[] record) {
        return record.length >= FRAME_BYTES && record[0] == TEXT_BYTES;
    }

    /** Whether a record only removes a key. */
    static boolean isRemoval(byte[] record) {
        return hasKey(record) && record.length == FRAME_BYTES;
    }

    /** Offset of the content of a record, which may have no key. */
    static int contentOffset(byte[] record) {
        return hasKey(record) ? FRAME_BYTES : 0;
    }

    /** Returns a record with this key; an empty content removes the key. */
    byte[] frame(byte[] content) {
        byte[] bits = ByteBuffer.allocate(Long.BYTES).putLong(number).array();
        return frame(Base64.getUrlEncoder().withoutPadding().encode(bits), content);
    }

    /** Returns a record with the key that owners share. */
    static byte[] frameOfOwner(byte[] content) {
        return frame(OWNER_TEXT, content);
    }

    private static byte[] frame(byte[] text, byte[] content) {
        return ByteBuffer.allocate(FRAME_BYTES + content.length)
                .put((byte) TEXT_BYTES)
                .put(text)
                .put(content)
                .array();
    }
}
