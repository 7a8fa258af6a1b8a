package org.foxtailplank.state;

/** Reasons why a record is void. */
public enum VoidReason {
    /** An earlier record has the same id. */
    DUPLICATE_ID,
    /** Its basis is too old for the duplicate check; the writer has to create a new record. */
    TOO_LATE,
    /** An object is not at the version that the record expects. */
    STALE_VERSION,
    /** Another controller has taken the epoch of its shard. */
    STALE_EPOCH,
    /** It names an object that does not exist. */
    UNKNOWN_OBJECT,
    /** The object is in a phase that does not allow it. */
    WRONG_PHASE,
    /** Its basis belongs to a log with other records. */
    OTHER_HISTORY,
    /** It is inconsistent or incomplete. */
    MALFORMED,
    /** It would break the availability budget of a service. */
    OVER_BUDGET,
    /** Its kind is unknown to this program version, or it depends on a frozen object. */
    NOT_UNDERSTOOD
}
