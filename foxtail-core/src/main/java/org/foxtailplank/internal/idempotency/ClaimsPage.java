package org.foxtailplank.internal.idempotency;

import java.util.List;
import java.util.Optional;
import org.foxtailplank.id.RecordId;

/**
 * The result of one read of the claims stream.
 *
 * @param fromOffset requested offset
 * @param oldestOffset oldest offset that the platform still keeps
 * @param endOffset offset after the last record of the stream
 * @param records records from the requested offset on
 */
public record ClaimsPage(
        long fromOffset, long oldestOffset, long endOffset, List<StoredRecord> records) {

    public ClaimsPage {
        records = List.copyOf(records);
    }

    /**
     * A record with its offset.
     *
     * @param offset offset in the stream
     * @param id id of the record
     * @param batch decoded content; empty when this version can't decode it
     */
    public record StoredRecord(long offset, RecordId id, Optional<ClaimBatch> batch) {}
}
