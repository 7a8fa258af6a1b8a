package org.foxtailplank.slo;

/** What became of a request, as far as the error budget is concerned. */
public enum Spend {
    /** Answered ok within its deadline; spends nothing. */
    NONE,
    /** Answered ok, but after its deadline. */
    LATE,
    /** Refused by the system: it did not run. */
    REFUSED,
    /** A backend server failed it, or its outcome is unknown. */
    FAILED,
    /** Refused or failed while a wave step had taken an instance of its service away. */
    WAVE;

    /** Whether the error budget pays for it. */
    public boolean isBad() {
        return this != NONE;
    }
}
