package org.foxtailplank.internal.admission;

/**
 * Result of an admission check.
 *
 * @param reason reason for the rejection, or {@link Reason#ADMITTED}
 * @param waitNanos expected time in the queue, in nanoseconds; for a rejected request the time
 *     after which to retry
 */
public record Admission(Reason reason, long waitNanos) {

    /** Reason for a rejection. */
    public enum Reason {
        /** The request is admitted. */
        ADMITTED,
        /** The request would miss its deadline. */
        TOO_LATE,
        /** The request would miss its deadline, and its team exceeds its quota of the queue. */
        OVER_QUOTA,
        /** The queue has reached its memory limit. */
        FULL
    }

    /** Returns whether the request may be queued. */
    public boolean admitted() {
        return reason == Reason.ADMITTED;
    }
}
