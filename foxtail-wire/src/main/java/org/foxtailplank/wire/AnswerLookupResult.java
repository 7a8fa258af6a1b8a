package org.foxtailplank.wire;

import java.util.Optional;

/**
 * What the first claimant of an idempotency key knows.
 *
 * @param state what became of the request there
 * @param answer the answer, when there is one
 */
public record AnswerLookupResult(State state, Optional<CallerAnswer> answer)
        implements PeerMessage {

    /** What became of a request at its first claimant. */
    public enum State {
        /** The answer is there. */
        ANSWERED,
        /** The request runs; ask again. */
        RUNNING,
        /** The node knows nothing of the key. */
        NOT_KNOWN,
        /** The key belongs to another request. */
        OTHER_REQUEST
    }

    public AnswerLookupResult {
        if (answer.isPresent() != (state == State.ANSWERED)) {
            throw new IllegalArgumentException("only an answered lookup has an answer");
        }
    }

    /** The answer is there. */
    public static AnswerLookupResult answered(CallerAnswer answer) {
        return new AnswerLookupResult(State.ANSWERED, Optional.of(answer));
    }

    /** There is no answer. */
    public static AnswerLookupResult without(State state) {
        return new AnswerLookupResult(state, Optional.empty());
    }
}
