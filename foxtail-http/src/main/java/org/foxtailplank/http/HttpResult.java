package org.foxtailplank.http;

/** What came of a call. */
public sealed interface HttpResult {

    /** A whole answer. */
    record Answered(int status, byte[] body) implements HttpResult {}

    /** There was no connection, so that nothing was sent. */
    record NotSent(String reason) implements HttpResult {}

    /** Something was sent and no whole answer came; it may be carried out. */
    record Unanswered(String reason) implements HttpResult {}
}
