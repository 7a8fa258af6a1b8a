package org.foxtailplank.internal.settings;

import java.util.LinkedHashMap;
import java.util.Map;

/** Lays a patch over a base with the rules of JSON merge patch (RFC 7396). */
public final class NodeMerge {
    private NodeMerge() {}

    /** The base with the patch's values in place of its own; null removes a key. */
    public static Node.Members merge(Node.Members base, Node.Members patch) {
        Map<String, Node> members = new LinkedHashMap<>(base.members());
        patch.members().forEach((key, value) -> put(members, key, value));
        return new Node.Members(base.place(), members);
    }

    private static void put(Map<String, Node> members, String key, Node value) {
        if (value instanceof Node.Scalar scalar && scalar.kind() == Node.Kind.NULL) {
            members.remove(key);
        } else if (value instanceof Node.Members patch) {
            Node.Members old =
                    members.get(key) instanceof Node.Members m
                            ? m
                            : new Node.Members(patch.place(), Map.of());
            members.put(key, merge(old, patch));
        } else {
            members.put(key, value);
        }
    }
}
