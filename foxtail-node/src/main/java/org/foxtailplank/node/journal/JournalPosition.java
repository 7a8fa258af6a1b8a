package org.foxtailplank.node.journal;

import java.util.List;

/**
 * Up to where the journal was read.
 *
 * @param offsets for each partition the offset of the record that is read next
 */
public record JournalPosition(List<Long> offsets) {
    /** The beginning, of however many partitions. */
    public static final JournalPosition START = new JournalPosition(List.of());

    public JournalPosition {
        offsets = List.copyOf(offsets);
    }

    /** Whether all that another position has read was read here. */
    public boolean covers(JournalPosition other) {
        for (int p = 0; p < other.offsets.size(); p++) {
            if (offset(p) < other.offset(p)) {
                return false;
            }
        }
        return true;
    }

    private long offset(int partition) {
        return partition < offsets.size() ? offsets.get(partition) : 0;
    }

    @Override
    public String toString() {
        return offsets.toString();
    }
}
