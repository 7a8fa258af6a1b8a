package org.foxtailplank.id;

/**
 * Name of a virtual machine.
 *
 * @param value the name, never blank
 */
public record VmId(String value) implements Comparable<VmId> {

    public VmId {
        Names.check(value, "VM");
    }

    /** Reads a VM name from text. */
    public static VmId of(String value) {
        return new VmId(value);
    }

    @Override
    public int compareTo(VmId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
