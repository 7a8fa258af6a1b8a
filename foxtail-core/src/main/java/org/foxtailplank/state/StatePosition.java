package org.foxtailplank.state;

import java.util.Comparator;

/**
 * How far a process has followed the log; the greater of two knows more.
 *
 * @param restorations times that a state was restored to the log
 * @param nextOffset offset of the next record
 * @param digest digest of the records before it
 */
public record StatePosition(long restorations, long nextOffset, long digest)
        implements Comparable<StatePosition> {
    /** Nothing is known. */
    public static final StatePosition NOTHING = new StatePosition(0, 1, 0);

    private static final Comparator<StatePosition> ORDER =
            Comparator.comparingLong(StatePosition::restorations)
                    .thenComparingLong(StatePosition::nextOffset);

    @Override
    public int compareTo(StatePosition other) {
        return ORDER.compare(this, other);
    }
}
