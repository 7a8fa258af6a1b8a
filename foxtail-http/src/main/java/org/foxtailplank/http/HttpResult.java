package org.foxtailplank.http;

/** Outcome of a call. */
public sealed interface HttpResult {

    /** A complete response was received. */
    record Answered(int status, byte[] body) implements HttpResult {}

    /** Nothing was sent, so the call had no effect. */
    record NotSent(String reason) implements HttpResult {}

    /** The request was sent without a complete response; it may still be executed. */
    record Unanswered(String reason) implements HttpResult {}
}
