package org.foxtailplank.id;

/**
 * Name of a maintenance wave.
 *
 * @param value the name, never blank
 */
public record WaveId(String value) implements Comparable<WaveId> {

    public WaveId {
        Names.check(value, "wave");
    }

    /** Reads a wave name from text. */
    public static WaveId of(String value) {
        return new WaveId(value);
    }

    @Override
    public int compareTo(WaveId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
