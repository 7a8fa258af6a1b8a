package org.foxtailplank.entry.internal.flow;

import org.foxtailplank.entry.CallerRequest;
import org.foxtailplank.entry.internal.backend.AttemptResult;

/** Whether another attempt at a request is safe after one that brought no good answer. */
enum RetryRule {
    /** Nothing went out; another attempt is the first one. */
    FIRST_ATTEMPT,
    /** It may be run again, or certainly did not run. */
    RETRY,
    /** The result stands. */
    FINAL;

    private static final int SERVER_ERROR = 500;

    static RetryRule after(CallerRequest request, AttemptResult result) {
        if (result instanceof AttemptResult.NotSent) {
            return FIRST_ATTEMPT;
        }
        if (result instanceof AttemptResult.Declined) {
            // Without a key nobody could tell a second run, so such a request is sent only once.
            return request.repeatable() || request.key().isPresent() ? RETRY : FINAL;
        }
        boolean failed =
                result instanceof AttemptResult.Lost
                        || result instanceof AttemptResult.Answered a && a.status() >= SERVER_ERROR;
        return failed && request.repeatable() ? RETRY : FINAL;
    }
}
