package org.foxtailplank.node.journal;

import org.foxtailplank.port.LogPartition;

/** Where the journal lies on the shared log. */
public final class JournalPartition {
    /** One partition, so that all records have one order. */
    public static final LogPartition JOURNAL = new LogPartition("foxtail-journal", 0);

    private JournalPartition() {}
}
