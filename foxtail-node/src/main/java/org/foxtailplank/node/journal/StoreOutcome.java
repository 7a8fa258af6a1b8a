package org.foxtailplank.node.journal;

/** What came of storing a record. */
public enum StoreOutcome {
    /** It is stored. */
    STORED,
    /** It is not stored, and never will be. */
    NOT_STORED,
    /** It may be stored, now or later. */
    UNKNOWN
}
