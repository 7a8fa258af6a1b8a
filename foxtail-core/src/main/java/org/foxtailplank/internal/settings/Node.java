package org.foxtailplank.internal.settings;

import java.util.List;
import java.util.Map;

/** A JSON value that remembers where it was written. */
public sealed interface Node {
    /** Where the value starts. */
    Place place();

    /** The value in words, for messages. */
    String describe();

    /**
     * A JSON object.
     *
     * @param place where it starts
     * @param members its members, in the order written
     */
    record Members(Place place, Map<String, Node> members) implements Node {
        @Override
        public String describe() {
            return "an object";
        }
    }

    /**
     * A JSON array.
     *
     * @param place where it starts
     * @param items its items
     */
    record Items(Place place, List<Node> items) implements Node {
        @Override
        public String describe() {
            return "a list";
        }
    }

    /**
     * Any other JSON value.
     *
     * @param place where it stands
     * @param kind what it is
     * @param text its text, without quotes
     */
    record Scalar(Place place, Kind kind, String text) implements Node {
        @Override
        public String describe() {
            return kind == Kind.TEXT ? "\"" + text + "\"" : text;
        }
    }

    /** Kinds of values that have no parts. */
    enum Kind {
        TEXT,
        NUMBER,
        FLAG,
        NULL
    }
}
