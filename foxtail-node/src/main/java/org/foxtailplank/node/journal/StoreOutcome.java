package org.foxtailplank.node.journal;

/** Outcome of storing a record. */
public enum StoreOutcome {
    /** The record is stored. */
    STORED,
    /** The record isn't stored and never will be. */
    NOT_STORED,
    /** The record may be stored, or may still be stored later. */
    UNKNOWN
}
