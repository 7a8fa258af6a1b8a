package org.foxtailplank.internal.idempotency;

import org.foxtailplank.id.RecordId;

/** What an entry has to do next; carried out outside the core. */
public sealed interface Action {

    /**
     * Append a record to the claims stream, once.
     *
     * @param id id of the record
     * @param batch what it says
     */
    record Append(RecordId id, ClaimBatch batch) implements Action {}

    /**
     * Send a request to a backend server, once.
     *
     * @param token the request
     */
    record Run(long token) implements Action {}

    /**
     * Hand a request to the owner of its key.
     *
     * @param token the request
     * @param owner owner of its key
     */
    record HandOver(long token, Claimant owner) implements Action {}

    /**
     * Answer a request.
     *
     * @param token the request
     * @param answer its answer
     */
    record Reply(long token, KeyedAnswer answer) implements Action {}
}
