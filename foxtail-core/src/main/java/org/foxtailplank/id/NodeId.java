package org.foxtailplank.id;

/**
 * Name of a process of the system's own, on one entry VM.
 *
 * @param value the name, never blank
 */
public record NodeId(String value) implements Comparable<NodeId> {

    public NodeId {
        Names.check(value, "node");
    }

    /** Reads a node name from text. */
    public static NodeId of(String value) {
        return new NodeId(value);
    }

    @Override
    public int compareTo(NodeId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
