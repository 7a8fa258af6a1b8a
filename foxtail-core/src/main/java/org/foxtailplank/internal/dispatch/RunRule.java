package org.foxtailplank.internal.dispatch;

import org.foxtailplank.internal.routing.AttemptEnd;

/** Determines after which outcomes a request can be retried safely. */
public enum RunRule {
    /** The request is idempotent; any failed attempt may be retried. */
    REPEATABLE {
        @Override
        boolean allowsRetryAfter(AttemptEnd outcome) {
            return outcome != AttemptEnd.GOOD;
        }
    },
    /** The request has an idempotency key; it is retried only if it certainly didn't run. */
    ONCE_BY_KEY {
        @Override
        boolean allowsRetryAfter(AttemptEnd outcome) {
            return outcome.nothingSent() || outcome == AttemptEnd.BUSY;
        }
    },
    /**
     * The request is neither idempotent nor has a key to detect duplicates. It is retried only if
     * nothing was sent, even if the backend server reports that it didn't run the request.
     */
    ONCE {
        @Override
        boolean allowsRetryAfter(AttemptEnd outcome) {
            return outcome.nothingSent();
        }
    };

    /** Returns whether a retry is safe after an attempt with the given outcome. */
    abstract boolean allowsRetryAfter(AttemptEnd outcome);
}
