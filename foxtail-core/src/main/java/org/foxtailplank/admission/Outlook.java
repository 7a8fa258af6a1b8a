package org.foxtailplank.admission;

/** Expected completion of a submitted job, compared with its objective. */
public enum Outlook {
    /** Within the objective. */
    IN_TIME,
    /** After the objective, but possibly early enough to be of some benefit. */
    LATE,
    /** Certainly too late to be of any benefit. */
    SURELY_LATE
}
