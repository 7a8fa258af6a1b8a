package org.foxtailplank.state;

/** Why a record is void. */
public enum VoidReason {
    /** Its id stands earlier in the log. */
    DUPLICATE_ID,
    /** It was made so long ago that its id can't be checked any more; make it anew. */
    TOO_LATE,
    /** An object that it names has changed since. */
    STALE_VERSION,
    /** Another controller has taken its shard. */
    STALE_EPOCH,
    /** It names an object that does not exist. */
    UNKNOWN_OBJECT,
    /** The object is in a phase that does not allow it. */
    WRONG_PHASE,
    /** It was made on a log whose records are not those of this one. */
    OTHER_HISTORY,
    /** It contradicts itself or leaves out what it must name. */
    MALFORMED,
    /** It would break the availability budget of a service. */
    OVER_BUDGET,
    /** Its kind is newer than this reader; the objects it names are frozen. */
    NOT_UNDERSTOOD
}
