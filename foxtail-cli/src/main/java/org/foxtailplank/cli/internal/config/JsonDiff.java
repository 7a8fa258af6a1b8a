package org.foxtailplank.cli.internal.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Compares JSON objects value by value; lists are compared as a whole. */
final class JsonDiff {
    private JsonDiff() {}

    /**
     * A value that differs.
     *
     * @param path its path
     * @param before what it was; null when there was none
     * @param after what it is; null when there is none
     */
    record Difference(String path, JsonNode before, JsonNode after) {
        @Override
        public String toString() {
            return path + ": " + text(before) + " -> " + text(after);
        }

        private static String text(JsonNode node) {
            return node == null ? "nothing" : node.toString();
        }

        /** Whether another difference changes the same value, or one inside or around it. */
        boolean overlaps(Difference other) {
            return path.equals(other.path)
                    || path.startsWith(other.path + ".")
                    || other.path.startsWith(path + ".");
        }
    }

    static List<Difference> differences(ObjectNode before, ObjectNode after) {
        List<Difference> differences = new ArrayList<>();
        collect("", before, after, differences);
        return differences;
    }

    private static void collect(
            String path, ObjectNode before, ObjectNode after, List<Difference> differences) {
        for (String name : names(before, after)) {
            JsonNode old = before.get(name);
            JsonNode now = after.get(name);
            String child = path.isEmpty() ? name : path + "." + name;
            if (old instanceof ObjectNode o && now instanceof ObjectNode n) {
                collect(child, o, n, differences);
            } else if (old == null || !old.equals(now)) {
                differences.add(new Difference(child, old, now));
            }
        }
    }

    /** The merge patch (RFC 7396) that makes one object of the other. */
    static ObjectNode mergePatch(ObjectNode before, ObjectNode after) {
        ObjectNode patch = JsonNodeFactory.instance.objectNode();
        for (String name : names(before, after)) {
            JsonNode old = before.get(name);
            JsonNode now = after.get(name);
            if (old instanceof ObjectNode o && now instanceof ObjectNode n) {
                ObjectNode inner = mergePatch(o, n);
                if (!inner.isEmpty()) {
                    patch.set(name, inner);
                }
            } else if (now == null) {
                patch.set(name, NullNode.getInstance());
            } else if (!now.equals(old)) {
                patch.set(name, now);
            }
        }
        return patch;
    }

    private static Set<String> names(ObjectNode a, ObjectNode b) {
        Set<String> names = new TreeSet<>();
        a.fieldNames().forEachRemaining(names::add);
        b.fieldNames().forEachRemaining(names::add);
        return names;
    }
}
