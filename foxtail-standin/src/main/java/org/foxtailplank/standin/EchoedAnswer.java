package org.foxtailplank.standin;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.zip.CRC32;

/**
 * The answer of a backend server stand-in: a line with what it answers, then the request's body.
 *
 * @param requestId id of the request that it answers; {@code -} when that carried none
 * @param instance instance that ran it
 * @param body body of the request, sent back
 */
public record EchoedAnswer(String requestId, String instance, byte[] body) {

    private static final int WORDS = 4;

    /** The answer as sent. */
    public byte[] encoded() {
        String id = requestId.isEmpty() ? "-" : requestId;
        String line = id + " " + instance + " " + body.length + " " + checksum(body) + "\n";
        byte[] head = line.getBytes(StandardCharsets.UTF_8);
        byte[] whole = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, whole, head.length, body.length);
        return whole;
    }

    /** Reads an answer; empty when it is cut short or damaged. */
    public static Optional<EchoedAnswer> parse(byte[] answer) {
        int end = 0;
        while (end < answer.length && answer[end] != '\n') {
            end++;
        }
        String[] words = new String(answer, 0, end, StandardCharsets.UTF_8).split(" ");
        if (end == answer.length || words.length != WORDS) {
            return Optional.empty();
        }
        byte[] body = Arrays.copyOfRange(answer, end + 1, answer.length);
        boolean whole =
                words[2].equals(String.valueOf(body.length)) && words[3].equals(checksum(body));
        return whole ? Optional.of(new EchoedAnswer(words[0], words[1], body)) : Optional.empty();
    }

    /** The checksum of a body. */
    public static String checksum(byte[] body) {
        CRC32 crc = new CRC32();
        crc.update(body);
        return Long.toHexString(crc.getValue());
    }
}
