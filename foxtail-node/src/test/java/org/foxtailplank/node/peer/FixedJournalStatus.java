package org.foxtailplank.node.peer;

import org.foxtailplank.node.journal.JournalPosition;

/** A journal of which an owner says the same all the time. */
public record FixedJournalStatus(JournalPosition position, long completeMs, long storedMsAgo)
        implements OwnedJournal {}
