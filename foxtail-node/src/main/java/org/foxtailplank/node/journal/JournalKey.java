package org.foxtailplank.node.journal;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Keys of journal records, under which the log retains them until the keys are removed.
 *
 * <p>Each record gets a random key of 64 bits, so that no record replaces another one. The records
 * of owners share one key, since only the newest one is needed.
 */
final class JournalKey {
    /** Number of a record without a key of its own. */
    static final long NONE = 0;

    /** Length of a key's text; no record without a key begins with a byte of this value. */
    private static final int TEXT_BYTES = 11;

    private static final int FRAME_BYTES = 1 + TEXT_BYTES;
    private static final int BITS_PER_DIGIT = 6;
    private static final long DIGIT_MASK = (1 << BITS_PER_DIGIT) - 1;
    private static final byte[] DIGITS =
            "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz_."
                    .getBytes(StandardCharsets.US_ASCII);
    private static final byte[] VALUES = values();

    /** Contains a character that isn't a digit. */
    private static final byte[] OWNER_TEXT = "owner-state".getBytes(StandardCharsets.US_ASCII);

    private JournalKey() {}

    private static byte[] values() {
        byte[] values = new byte[Byte.MAX_VALUE + 1];
        Arrays.fill(values, (byte) -1);
        for (int d = 0; d < DIGITS.length; d++) {
            values[DIGITS[d]] = (byte) d;
        }
        return values;
    }

    /** Returns a record with a key of its own. */
    static byte[] frame(byte[] content) {
        long number = ThreadLocalRandom.current().nextLong();
        return frame(text(number == NONE ? 1 : number), content);
    }

    /** Returns a record with the key that owners share. */
    static byte[] frameOfOwner(byte[] content) {
        return frame(OWNER_TEXT, content);
    }

    /** Returns the record that removes a key. */
    static byte[] removal(long number) {
        return frame(text(number), new byte[0]);
    }

    private static byte[] text(long number) {
        byte[] text = new byte[TEXT_BYTES];
        for (int i = 0; i < TEXT_BYTES; i++) {
            text[i] = DIGITS[(int) ((number >>> (BITS_PER_DIGIT * i)) & DIGIT_MASK)];
        }
        return text;
    }

    private static byte[] frame(byte[] text, byte[] content) {
        return ByteBuffer.allocate(FRAME_BYTES + content.length)
                .put((byte) TEXT_BYTES)
                .put(text)
                .put(content)
                .array();
    }

    /** Returns the number of a record's key; {@link #NONE} if it has no key of its own. */
    static long number(byte[] record) {
        if (!hasKey(record)) {
            return NONE;
        }
        long number = 0;
        for (int i = 0; i < TEXT_BYTES; i++) {
            byte digit = record[1 + i];
            int value = digit < 0 ? -1 : VALUES[digit];
            if (value < 0) {
                return NONE;
            }
            number |= (long) value << (BITS_PER_DIGIT * i);
        }
        return number;
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
}
