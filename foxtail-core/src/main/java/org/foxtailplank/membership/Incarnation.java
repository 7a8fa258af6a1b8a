package org.foxtailplank.membership;

import java.util.random.RandomGenerator;

/**
 * Identifies one run of a process, so that a replaced VM is distinct from its predecessor with the
 * same name and address.
 *
 * @param value random nonzero number
 */
public record Incarnation(long value) {

    public Incarnation {
        if (value == 0) {
            throw new IllegalArgumentException("incarnation must not be 0");
        }
    }

    /** Generates a random incarnation. */
    public static Incarnation random(RandomGenerator random) {
        long value = random.nextLong();
        return new Incarnation(value == 0 ? 1 : value);
    }

    /**
     * Returns a 32-bit hash that identifies the incarnation in heartbeats.
     *
     * <p>Members whose tags collide keep each other alive until both fail. With 99 members, the
     * probability of a collision is about one in a million.
     */
    public int tag() {
        return Long.hashCode(value);
    }

    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
