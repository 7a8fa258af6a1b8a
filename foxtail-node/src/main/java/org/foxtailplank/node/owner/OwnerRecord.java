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
    byte[] encode() {
        return String.join(" ", node, address, life).getBytes(StandardCharsets.UTF_8);
    }

    /** The record in these bytes; a node's name may hold spaces, the other fields don't. */
    static Optional<OwnerRecord> decode(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.UTF_8);
        int life = text.lastIndexOf(' ');
        int address = text.lastIndexOf(' ', life - 1);
        return address < 0
                ? Optional.empty()
                : Optional.of(
                        new OwnerRecord(
                                text.substring(0, address),
                                text.substring(address + 1, life),
                                text.substring(life + 1)));
    }
}
