package org.foxtailplank.id;

/**
 * Name of a record on the platform's log, unique over all writers.
 *
 * @param value the name, never blank
 */
public record RecordId(String value) implements Comparable<RecordId> {

    public RecordId {
        Names.check(value, "record");
    }

    /** Reads a record name from text. */
    public static RecordId of(String value) {
        return new RecordId(value);
    }

    @Override
    public int compareTo(RecordId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
