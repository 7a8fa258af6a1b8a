package org.foxtailplank.node;

/**
 * How much a node's network link carries.
 *
 * @param megabitsPerS megabits a second; 0 where the settings say nothing
 */
public record LinkRate(double megabitsPerS) {
    /** A link of which nothing is known. */
    public static final LinkRate UNKNOWN = new LinkRate(0);

    public LinkRate {
        if (!(megabitsPerS >= 0)) {
            throw new IllegalArgumentException("no rate: " + megabitsPerS);
        }
    }
}
