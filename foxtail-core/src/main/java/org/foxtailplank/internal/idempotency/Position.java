package org.foxtailplank.internal.idempotency;

import java.util.Optional;
import org.foxtailplank.id.RecordId;

/**
 * How far an entry has read the claims stream.
 *
 * @param era era in force there
 * @param next offset of the next record it will read
 * @param last id of the record before that; empty when it has read none
 * @param lostEra number of the last era of which it knows that records were lost; 0 for none
 */
public record Position(Era era, long next, Optional<RecordId> last, long lostEra) {

    /** Where a reader starts. */
    public static final Position START = new Position(Era.NONE, 1, Optional.empty(), 0);
}
