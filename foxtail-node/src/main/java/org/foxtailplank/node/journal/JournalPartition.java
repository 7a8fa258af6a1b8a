package org.foxtailplank.node.journal;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.port.LogPartition;

/**
 * Where the journal lies on the shared log.
 *
 * <p>The platform may lose single partitions for seconds. Records go to the first partition, and to
 * one of the spare ones while the first takes nothing. They are facts that may be read in any order
 * and may stand in several.
 */
public final class JournalPartition {
    private static final String TOPIC = "foxtail-journal";

    /**
     * Partitions at most. Where a third of the platform's partitions is lost at a time, all three
     * are lost in one of 27 cases. Each one more is read and raised by every new owner, which waits
     * for all of them.
     */
    private static final int MOST = 3;

    /** Where records go as a rule. */
    public static final LogPartition JOURNAL = new LogPartition(TOPIC, 0);

    private JournalPartition() {}

    /**
     * All partitions of the journal, the first one first.
     *
     * @param parts partitions that a topic has
     */
    public static List<LogPartition> all(int parts) {
        List<LogPartition> all = new ArrayList<>();
        for (int p = 0; p < Math.min(MOST, parts); p++) {
            all.add(new LogPartition(TOPIC, p));
        }
        return all;
    }
}
