package org.foxtailplank.wire;

import java.util.Optional;

/**
 * Reply to an {@link AnswerLookup}.
 *
 * @param state state of the request at the first claimant
 * @param answer stored answer; present only in state {@link State#ANSWERED}
 */
public record AnswerLookupResult(State state, Optional<CallerAnswer> answer)
        implements PeerMessage {

    /** State of a request at its first claimant. */
    public enum State {
        /** The answer is stored. */
        ANSWERED,
        /** The request is still running; look it up again later. */
        RUNNING,
        /** The key is unknown to the node. */
        NOT_KNOWN,
        /** The key was used for another request. */
        OTHER_REQUEST
    }

    public AnswerLookupResult {
        if (answer.isPresent() != (state == State.ANSWERED)) {
            throw new IllegalArgumentException(
                    "an answer is required in state ANSWERED and not allowed in any other");
        }
    }

    /** Returns a result with an answer. */
    public static AnswerLookupResult answered(CallerAnswer answer) {
        return new AnswerLookupResult(State.ANSWERED, Optional.of(answer));
    }

    /** Returns a result without an answer. */
    public static AnswerLookupResult without(State state) {
        return new AnswerLookupResult(state, Optional.empty());
    }
}
