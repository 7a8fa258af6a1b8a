package org.foxtailplank.internal.idempotency;

import java.util.List;
import java.util.Optional;
import org.foxtailplank.id.RecordId;

/**
 * What one read of the claims stream returned.
 *
 * @param from offset that was asked for
 * @param oldest oldest offset that the platform still keeps
 * @param end offset after the last record
 * @param records records from the asked offset on
 */
public record ClaimsPage(long from, long oldest, long end, List<Stored> records) {

    public ClaimsPage {
        records = List.copyOf(records);
    }

    /**
     * A stored record.
     *
     * @param offset its place in the stream
     * @param id its id
     * @param batch what it says; empty when this version does not understand it
     */
    public record Stored(long offset, RecordId id, Optional<ClaimBatch> batch) {}
}
