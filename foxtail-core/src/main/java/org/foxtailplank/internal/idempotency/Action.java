package org.foxtailplank.internal.idempotency;

import org.foxtailplank.id.RecordId;

/** An action that the coordinator requests and its caller performs. */
public sealed interface Action {

    /**
     * Appends a record to the claims stream, at most once.
     *
     * @param id id of the record
     * @param batch content of the record
     */
    record Append(RecordId id, ClaimBatch batch) implements Action {}

    /**
     * Sends a request to a backend server, at most once.
     *
     * @param token token of the request
     */
    record Run(long token) implements Action {}

    /**
     * Hands a request over to the owner of its key.
     *
     * @param token token of the request
     * @param owner owner of its key
     */
    record HandOver(long token, Claimant owner) implements Action {}

    /**
     * Answers a request.
     *
     * @param token token of the request
     * @param answer answer to return
     */
    record Reply(long token, KeyedAnswer answer) implements Action {}
}
