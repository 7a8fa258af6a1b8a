package org.foxtailplank.node;

/**
 * How much a node's network link carries.
 *
 * @param megabitsPerS megabits a second; 0 where the settings say nothing
 */
public record LinkRate(double megabitsPerS) {
    /** A link of which nothing is known. */
    public static final LinkRate UNKNOWN = new LinkRate(0);

    /**
     * On a link of this rate an owner has room for what it sends, in megabits a second: about as
     * much as it sends to forty nodes in a queue's turn, by the number and size of the records.
     */
    private static final double AMPLE_MEGABITS_PER_S = 100;

    /**
     * Longest time that a node lets others go ahead, in milliseconds: twice the time over which the
     * tries of nodes spread.
     */
    private static final long MAX_YIELD_MS = 600;

    public LinkRate {
        if (!(megabitsPerS >= 0)) {
            throw new IllegalArgumentException("no rate: " + megabitsPerS);
        }
    }

    /** Whether an owner with this link has room for what it sends, as far as is known. */
    public boolean isAmple() {
        return yieldMs() == 0;
    }

    /**
     * How long a node with this link lets others take an owner's place first, in milliseconds.
     *
     * <p>Guards against an owner whose link is full: it sends the journal to all other nodes and
     * each task's text to a worker, and in a queue's turn its appends, looks and orders time out
     * while jobs wait. A node whose link is not ample tries after those that have one, and at last
     * all the same.
     */
    public long yieldMs() {
        if (equals(UNKNOWN)) {
            return 0;
        }
        return (long) (MAX_YIELD_MS * Math.max(0, 1 - megabitsPerS / AMPLE_MEGABITS_PER_S));
    }
}
