package org.foxtailplank.it.history;

/**
 * A broken promise.
 *
 * @param kind which promise
 * @param request request that it was found at
 * @param detail what was seen
 */
public record Violation(Kind kind, String request, String detail) {

    /** The promises. */
    public enum Kind {
        /** What must not be repeated ran more than once. */
        RAN_TWICE,
        /** The answer belongs to another request. */
        SWAPPED_ANSWER,
        /** The answer is not the whole answer of a backend server, and says it is. */
        SHORT_ANSWER,
        /** It ran, and the answer says that it did not. */
        FALSE_NOT_RUN,
        /** One key has two different answers. */
        TWO_ANSWERS,
        /** One request was answered more than once. */
        ANSWERED_TWICE,
        /** One request was never answered. */
        NEVER_ANSWERED,
        /** A backend server saw another body than the caller sent, or a request nobody sent. */
        DAMAGED_REQUEST
    }
}
