package org.foxtailplank.load.internal.run;

/** How a request ended, as its caller sees it. */
public enum Ending {
    /** The whole answer to this request, in time. */
    OK,
    /** The whole answer to this request, after its deadline. */
    LATE,
    /** Refused; it did not run. */
    NOT_RUN,
    /** Whether it ran is not known. */
    UNKNOWN,
    /** An answer that belongs to another request or is not whole; must never happen. */
    WRONG,
    /** The entry could not be reached, or broke the connection. */
    ERROR
}
