package org.foxtailplank.node.owner;

import java.nio.charset.StandardCharsets;

/**
 * A record that takes ownership; its offset in the partition of owners is the fencing token.
 *
 * @param node the node
 * @param life the life of its process, so that it knows its own record from one of an earlier life
 */
record OwnerRecord(String node, String life) {

    byte[] encode() {
        return (node + ' ' + life).getBytes(StandardCharsets.UTF_8);
    }

    static OwnerRecord decode(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.UTF_8);
        int space = text.lastIndexOf(' ');
        return new OwnerRecord(text.substring(0, Math.max(0, space)), text.substring(space + 1));
    }
}
