package org.foxtailplank.node.owner;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * A record that takes ownership; its offset in the owners partition determines the fencing token.
 *
 * @param node the node's name
 * @param address address of its stream, as {@code ip:port}
 * @param incarnation random id of the process, which distinguishes its record from one of an
 *     earlier process
 */
record OwnerRecord(String node, String address, String incarnation) {
    /** Ends the records of owners whose journal has keys; part of the incarnation to others. */
    private static final String KEYED_JOURNAL = "/keyed";

    byte[] encode() {
        return (String.join(" ", node, address, incarnation) + KEYED_JOURNAL)
                .getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Decodes a record. Only the node's name may contain spaces. Returns empty for an owner of an
     * earlier version, which uses a journal without keys and has to be replaced.
     */
    static Optional<OwnerRecord> decode(byte[] bytes) {
        String record = new String(bytes, StandardCharsets.UTF_8);
        if (!record.endsWith(KEYED_JOURNAL)) {
            return Optional.empty();
        }
        String text = record.substring(0, record.length() - KEYED_JOURNAL.length());
        int incarnationAt = text.lastIndexOf(' ');
        int addressAt = text.lastIndexOf(' ', incarnationAt - 1);
        return addressAt < 0
                ? Optional.empty()
                : Optional.of(
                        new OwnerRecord(
                                text.substring(0, addressAt),
                                text.substring(addressAt + 1, incarnationAt),
                                text.substring(incarnationAt + 1)));
    }
}
