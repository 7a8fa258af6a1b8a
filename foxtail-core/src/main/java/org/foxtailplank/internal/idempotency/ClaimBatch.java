package org.foxtailplank.internal.idempotency;

import java.time.Instant;
import java.util.List;

/**
 * One record of the claims stream.
 *
 * @param writer entry that wrote it
 * @param era era under which it was written
 * @param opening whether it opens that era, and how
 * @param time its writer's clock
 * @param claims claims in order; may be empty
 */
public record ClaimBatch(
        Claimant writer, Era era, Opening opening, Instant time, List<Claim> claims) {

    public ClaimBatch {
        claims = List.copyOf(claims);
    }

    /** Whether a record opens an era. */
    public enum Opening {
        /** It belongs to an era that is open. */
        NONE,
        /** It opens the first era of a new deployment; nothing can have run before. */
        FIRST,
        /** It opens an era after records were lost; keys may have run that nobody can see. */
        AFTER_LOSS
    }
}
