package org.foxtailplank.node.owner;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * A record that takes ownership; its offset in the partition of owners is the fencing token.
 *
 * @param node the node
 * @param address where its stream is, as {@code ip:port}
 * @param life the life of its process, so that it knows its own record from one of an earlier life
 */
record OwnerRecord(String node, String address, String life) {
    private static final int FIELDS = 3;

    byte[] encode() {
        return String.join(" ", node, address, life).getBytes(StandardCharsets.UTF_8);
    }

    static Optional<OwnerRecord> decode(byte[] bytes) {
        String[] fields = new String(bytes, StandardCharsets.UTF_8).split(" ");
        return fields.length == FIELDS
                ? Optional.of(new OwnerRecord(fields[0], fields[1], fields[2]))
                : Optional.empty();
    }
}
