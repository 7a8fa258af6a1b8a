package org.foxtailplank.internal.idempotency;

import java.util.Optional;
import org.foxtailplank.id.RecordId;

/**
 * How far an entry has read the claims stream.
 *
 * @param era era in force there
 * @param next offset of the next record it will read
 * @param last id of the record before that; empty when it has read none
 */
public record Position(Era era, long next, Optional<RecordId> last) {

    /** Where a reader starts. */
    public static final Position START = new Position(Era.NONE, 1, Optional.empty());
}
