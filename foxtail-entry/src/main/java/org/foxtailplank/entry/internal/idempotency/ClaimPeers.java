package org.foxtailplank.entry.internal.idempotency;

import java.util.List;
import java.util.concurrent.CompletionStage;
import org.foxtailplank.entry.Answer;
import org.foxtailplank.entry.CallerRequest;
import org.foxtailplank.internal.idempotency.Claimant;
import org.foxtailplank.internal.idempotency.Position;

/** Calls to other entries about idempotency keys. */
public interface ClaimPeers {

    /** Hands a request over to the owner of its key; fails if that process does not answer. */
    CompletionStage<Answer> handOver(CallerRequest request, Claimant owner);

    /** Returns the read positions of the entries that answer in time; never fails. */
    CompletionStage<List<Position>> positions();
}
