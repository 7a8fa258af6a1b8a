package org.foxtailplank.membership;

import java.util.random.RandomGenerator;

/**
 * One start of a process; a replaced VM with the same name and address has another one.
 *
 * @param value random, never 0
 */
public record Incarnation(long value) {

    public Incarnation {
        if (value == 0) {
            throw new IllegalArgumentException("an incarnation is never 0");
        }
    }

    /** Draws the incarnation of a process that starts. */
    public static Incarnation draw(RandomGenerator random) {
        long value = random.nextLong();
        return new Incarnation(value == 0 ? 1 : value);
    }

    /**
     * A short form for heartbeats.
     *
     * <p>Two members with the same tag would share each other's signs of life until both are gone;
     * among 99 members that is once in a million starts.
     */
    public int tag() {
        return Long.hashCode(value);
    }

    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
