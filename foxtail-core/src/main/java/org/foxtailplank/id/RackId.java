package org.foxtailplank.id;

/**
 * Name of a rack, the failure domain inside an availability zone.
 *
 * @param value the name, never blank
 */
public record RackId(String value) implements Comparable<RackId> {

    public RackId {
        Names.check(value, "rack");
    }

    /** Reads a rack name from text. */
    public static RackId of(String value) {
        return new RackId(value);
    }

    @Override
    public int compareTo(RackId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
