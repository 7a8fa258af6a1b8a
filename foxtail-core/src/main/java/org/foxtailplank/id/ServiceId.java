package org.foxtailplank.id;

/**
 * Name of a service that callers address.
 *
 * @param value the name, never blank
 */
public record ServiceId(String value) implements Comparable<ServiceId> {

    public ServiceId {
        Names.check(value, "service");
    }

    /** Reads a service name from text. */
    public static ServiceId of(String value) {
        return new ServiceId(value);
    }

    @Override
    public int compareTo(ServiceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
