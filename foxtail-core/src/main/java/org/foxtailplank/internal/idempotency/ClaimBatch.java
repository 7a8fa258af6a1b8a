package org.foxtailplank.internal.idempotency;

import java.time.Instant;
import java.util.List;

/**
 * The content of one record of the claims stream.
 *
 * @param writer entry that wrote the record
 * @param era era in which it was written
 * @param opening whether and why it opens that era
 * @param time time of writing, by the writer's clock
 * @param claims claims in order; may be empty
 */
public record ClaimBatch(
        Claimant writer, Era era, Opening opening, Instant time, List<Claim> claims) {

    public ClaimBatch {
        claims = List.copyOf(claims);
    }

    /** Whether a record opens an era. */
    public enum Opening {
        /** The record belongs to an open era. */
        NONE,
        /** Opens the first era of a new deployment; no key can have run before. */
        FIRST,
        /** Opens an era after records were lost; keys without a visible claim may have run. */
        AFTER_LOSS
    }
}
