package org.foxtailplank.state;

import java.util.Comparator;

/**
 * Position of a process in the log; the greater of two is more recent.
 *
 * @param restorations number of restorations so far
 * @param nextOffset offset of the next record
 * @param digest digest of the records before it
 */
public record StatePosition(long restorations, long nextOffset, long digest)
        implements Comparable<StatePosition> {
    /** Position before the first record. */
    public static final StatePosition NOTHING = new StatePosition(0, 1, 0);

    private static final Comparator<StatePosition> ORDER =
            Comparator.comparingLong(StatePosition::restorations)
                    .thenComparingLong(StatePosition::nextOffset);

    @Override
    public int compareTo(StatePosition other) {
        return ORDER.compare(this, other);
    }
}
