package org.foxtailplank.job;

/**
 * Age of the newest complete copy of a fact in the journal, as a node knows it.
 *
 * @param sinceMs earliest time at which the copy can have been stored, on the node's monotonic
 *     clock in milliseconds; {@link #UNKNOWN_MS} if the node read the record without knowing its
 *     age
 * @param number number of the copy in the order in which the node has read copies
 */
public record JournalCopy(long sinceMs, long number) implements Comparable<JournalCopy> {
    /** A time before any other one. */
    public static final long UNKNOWN_MS = Long.MIN_VALUE / 2;

    /** Whether the copy may be older than this, in milliseconds. */
    public boolean mayBeOlderThan(long ageMs, long nowMs) {
        return nowMs - sinceMs > ageMs;
    }

    /** Orders copies from the oldest to the newest one. */
    @Override
    public int compareTo(JournalCopy other) {
        int bySince = Long.compare(sinceMs, other.sinceMs);
        return bySince == 0 ? Long.compare(number, other.number) : bySince;
    }
}
