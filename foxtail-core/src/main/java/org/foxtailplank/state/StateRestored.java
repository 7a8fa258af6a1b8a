package org.foxtailplank.state;

import java.util.Set;

/**
 * The log came back without its newest records; it goes on from a state that a node still knew.
 *
 * <p>Records before it that the state does not hold are void. It is taken in by whoever follows the
 * log, before the fold, which only ever sees what comes after it.
 *
 * @param replaces restorations before this one; the first record that names a number wins
 * @param nextOffset offset of the next record, as the restored state counts
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
