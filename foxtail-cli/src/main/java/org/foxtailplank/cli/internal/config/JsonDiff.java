package org.foxtailplank.cli.internal.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
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

        /** Whether another difference makes something else of the same value. */
        boolean clashes(Difference other) {
            boolean same = path.equals(other.path) && Objects.equals(after, other.after);
            boolean overlaps =
                    path.equals(other.path)
                            || path.startsWith(other.path + ".")
                            || other.path.startsWith(path + ".");
            return overlaps && !same;
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

    /** Makes in a target what was changed between two other objects; a null counts as a value. */
    static void replay(ObjectNode before, ObjectNode after, ObjectNode target) {
        for (String name : names(before, after)) {
            JsonNode old = before.get(name);
            JsonNode now = after.get(name);
            if (old instanceof ObjectNode o
                    && now instanceof ObjectNode n
                    && target.get(name) instanceof ObjectNode t) {
                replay(o, n, t);
            } else if (now == null) {
                target.remove(name);
            } else if (!now.equals(old)) {
                target.set(name, now);
            }
        }
    }

    private static Set<String> names(ObjectNode a, ObjectNode b) {
        Set<String> names = new TreeSet<>();
        a.fieldNames().forEachRemaining(names::add);
        b.fieldNames().forEachRemaining(names::add);
        return names;
    }
}
