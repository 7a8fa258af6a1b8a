package org.foxtailplank.internal.dispatch;

import org.foxtailplank.internal.routing.AttemptOutcome;

/** Determines after which outcomes a request can be retried safely. */
public enum RetrySafety {
    /** The request is idempotent; any failed attempt may be retried. */
    IDEMPOTENT {
        @Override
        boolean allowsRetryAfter(AttemptOutcome outcome) {
            return outcome != AttemptOutcome.SUCCESS;
        }
    },
    /** The request has an idempotency key; it is retried only if it certainly didn't run. */
    KEYED {
        @Override
        boolean allowsRetryAfter(AttemptOutcome outcome) {
            return outcome.nothingSent() || outcome == AttemptOutcome.BUSY;
        }
    },
    /**
     * The request is neither idempotent nor has a key to detect duplicates. It is retried only if
     * nothing was sent, even if the backend server reports that it didn't run the request.
     */
    NON_IDEMPOTENT {
        @Override
        boolean allowsRetryAfter(AttemptOutcome outcome) {
            return outcome.nothingSent();
        }
    };

    /** Returns whether a retry is safe after an attempt with the given outcome. */
    abstract boolean allowsRetryAfter(AttemptOutcome outcome);
}
