package org.foxtailplank.node.peer;

import org.foxtailplank.node.journal.JournalPosition;

/** A journal status with constant values. */
public record FixedJournalStatus(JournalPosition position, long completeMs, long storedMsAgo)
        implements JournalStatus {}
