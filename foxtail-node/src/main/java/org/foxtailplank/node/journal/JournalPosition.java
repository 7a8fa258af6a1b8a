package org.foxtailplank.node.journal;

import java.util.List;

/**
 * Position up to which the journal was read.
 *
 * @param offsets offset of the next record to read, for each partition
 */
public record JournalPosition(List<Long> offsets) {
    /** The start of the journal, for any number of partitions. */
    public static final JournalPosition START = new JournalPosition(List.of());

    public JournalPosition {
        offsets = List.copyOf(offsets);
    }

    /** Whether this position is at or after another one in every partition. */
    public boolean covers(JournalPosition other) {
        for (int p = 0; p < other.offsets.size(); p++) {
            if (offset(p) < other.offset(p)) {
                return false;
            }
        }
        return true;
    }

    /** Offset of the next record of a partition to read. */
    long offset(int partition) {
        return partition < offsets.size() ? offsets.get(partition) : 0;
    }

    @Override
    public String toString() {
        return offsets.toString();
    }
}
