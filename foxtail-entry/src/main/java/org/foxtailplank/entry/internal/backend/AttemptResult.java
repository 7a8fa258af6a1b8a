package org.foxtailplank.entry.internal.backend;

import java.util.List;
import org.foxtailplank.entry.Header;

/** The result of sending a request to one instance. */
public sealed interface AttemptResult {

    /**
     * A complete answer was received.
     *
     * @param status HTTP status
     * @param contentType media type of the body
     * @param headers headers to forward
     * @param body complete body
     */
    record Answered(int status, String contentType, List<Header> headers, byte[] body)
            implements AttemptResult {}

    /**
     * No byte of the request was sent, because no connection was available.
     *
     * @param why cause of the failure
     * @param refused whether the connection was refused
     */
    record NotSent(String why, boolean refused) implements AttemptResult {}

    /** The backend server answered that it did not run the request. */
    record Declined() implements AttemptResult {}

    /** The request was sent, but no complete answer was received. */
    record Lost(String why, boolean timedOut) implements AttemptResult {}
}
