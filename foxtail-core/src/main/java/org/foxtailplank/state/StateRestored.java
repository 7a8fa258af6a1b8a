package org.foxtailplank.state;

import java.util.Set;

/**
 * The log lost its newest records and continues from a state that a node still had.
 *
 * <p>Earlier records that the state does not include are void. Log followers process this record
 * themselves; the fold sees only the records after it.
 *
 * @param replaces number of earlier restorations; the first record that names it wins
 * @param nextOffset offset of the next record in the restored state
 * @param digest digest of the records in the restored state
 * @param snapshot name of the stored snapshot of that state
 */
public record StateRestored(long replaces, long nextOffset, long digest, String snapshot)
        implements Change {
    @Override
    public Set<ObjectKey> touches() {
        return Set.of();
    }
}
