package org.foxtailplank.state;

import java.util.Arrays;

/**
 * Contents of a record window, as stored in snapshots.
 *
 * @param ids hash of the id at each offset modulo the window's size; 0 for none
 * @param digests digest of all records before each offset, modulo the window's size
 */
public record RecordWindowContents(long[] ids, long[] digests) {
    @Override
    public boolean equals(Object other) {
        return other instanceof RecordWindowContents w
                && Arrays.equals(ids, w.ids)
                && Arrays.equals(digests, w.digests);
    }

    @Override
    public int hashCode() {
        return 31 * Arrays.hashCode(ids) + Arrays.hashCode(digests);
    }
}
