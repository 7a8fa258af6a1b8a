package org.foxtailplank.node.journal;

/** Outcome of storing a record. */
public enum StoreOutcome {
    /** The record is stored. */
    STORED,
    /** The record isn't stored and never will be. */
    NOT_STORED,
    /** The record may be stored, or may still be stored later. */
    UNKNOWN,
    /** The owner doesn't store the record, since another node has just refused the job. */
    REFUSED
}
