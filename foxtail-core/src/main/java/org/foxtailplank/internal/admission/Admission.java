package org.foxtailplank.internal.admission;

/**
 * Whether a request may wait, and otherwise why not.
 *
 * @param reason why, or {@link Reason#ADMITTED}
 * @param waitNanos expected time until its turn, in nanoseconds; for a refused one the time until
 *     it is worth asking again
 */
public record Admission(Reason reason, long waitNanos) {

    /** Why a request is refused. */
    public enum Reason {
        /** It is not refused. */
        ADMITTED,
        /** Its turn would come too late for its deadline. */
        TOO_LATE,
        /** Its turn would come too late, and its team already has more than its quota waiting. */
        OVER_QUOTA,
        /** Waiting requests hold all the memory that they may. */
        FULL
    }

    /** Whether the request may wait. */
    public boolean admitted() {
        return reason == Reason.ADMITTED;
    }
}
