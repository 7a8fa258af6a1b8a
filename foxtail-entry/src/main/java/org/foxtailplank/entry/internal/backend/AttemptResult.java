package org.foxtailplank.entry.internal.backend;

import java.util.List;
import org.foxtailplank.entry.Header;

/** What came of sending a request to one instance. */
public sealed interface AttemptResult {

    /**
     * The whole answer came.
     *
     * @param status HTTP status
     * @param contentType media type of the body
     * @param headers headers that are passed on
     * @param body the whole body
     */
    record Answered(int status, String contentType, List<Header> headers, byte[] body)
            implements AttemptResult {}

    /**
     * No byte of the request went out, because no connection could be had.
     *
     * @param why what went wrong
     * @param refused whether nobody listens at the address
     */
    record NotSent(String why, boolean refused) implements AttemptResult {}

    /** The backend server's own word that it did not run the request. */
    record Declined() implements AttemptResult {}

    /** The request went out, and no whole answer came back. */
    record Lost(String why, boolean timedOut) implements AttemptResult {}
}
