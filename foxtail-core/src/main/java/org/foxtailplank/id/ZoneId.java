package org.foxtailplank.id;

/**
 * Name of a availability zone.
 *
 * @param value the name, never blank
 */
public record ZoneId(String value) implements Comparable<ZoneId> {

    public ZoneId {
        Names.check(value, "availability zone");
    }

    /** Reads a availability zone name from text. */
    public static ZoneId of(String value) {
        return new ZoneId(value);
    }

    @Override
    public int compareTo(ZoneId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
