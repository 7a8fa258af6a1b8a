package org.foxtailplank.entry.internal.idempotency;

import java.util.List;
import java.util.concurrent.CompletionStage;
import org.foxtailplank.entry.Answer;
import org.foxtailplank.entry.CallerRequest;
import org.foxtailplank.internal.idempotency.Claimant;
import org.foxtailplank.internal.idempotency.Position;

/** The other entries, as far as keys go. */
public interface ClaimPeers {

    /**
     * Hands a request to the owner of its key; fails when no answer came from that very process.
     */
    CompletionStage<Answer> handOver(CallerRequest request, Claimant owner);

    /** How far the others have read the claims stream, of those that answer soon; never fails. */
    CompletionStage<List<Position>> positions();
}
