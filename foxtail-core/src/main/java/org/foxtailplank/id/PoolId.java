package org.foxtailplank.id;

/**
 * Name of a pool of VMs.
 *
 * @param value the name, never blank
 */
public record PoolId(String value) implements Comparable<PoolId> {

    public PoolId {
        Names.check(value, "pool");
    }

    /** Reads a pool name from text. */
    public static PoolId of(String value) {
        return new PoolId(value);
    }

    @Override
    public int compareTo(PoolId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
