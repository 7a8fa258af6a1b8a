package org.foxtailplank.internal.idempotency;

import java.util.Optional;
import org.foxtailplank.id.RecordId;

/**
 * An entry's read position in the claims stream.
 *
 * @param era current era at that entry
 * @param next offset of the next record to read
 * @param last id of the last record read; empty if none
 * @param lostEra number of the last era known to have lost records; 0 if none
 */
public record Position(Era era, long next, Optional<RecordId> last, long lostEra) {

    /** Position of a reader that has read no records. */
    public static final Position START = new Position(Era.NONE, 1, Optional.empty(), 0);
}
