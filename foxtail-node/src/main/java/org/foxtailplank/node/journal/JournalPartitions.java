package org.foxtailplank.node.journal;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.port.LogPartition;

/**
 * Partitions of the journal on the shared log. Their records have keys ({@link JournalKey}), so
 * that the log retains each of them until an owner removes it.
 *
 * <p>Records go to the primary partition, or to a spare one while the primary is unavailable. They
 * may be read in any order and may be duplicated across partitions.
 */
public final class JournalPartitions {
    private static final String TOPIC = "foxtail-journal";

    /**
     * Maximum number of partitions. If a third of the platform's partitions are lost at a time, all
     * three are lost in one of 27 cases. Every new owner must read and fence all of them before it
     * can start.
     */
    private static final int MAX_PARTITIONS = 3;

    /** The primary partition. */
    public static final LogPartition PRIMARY = new LogPartition(TOPIC, 0, true);

    /** Number of a partition of the journal of earlier versions, whose records have no keys. */
    static final int EARLIER = -1;

    private JournalPartitions() {}

    /**
     * All partitions of the journal, the primary one first.
     *
     * @param topicPartitions number of partitions of a topic
     */
    public static List<LogPartition> all(int topicPartitions) {
        List<LogPartition> partitions = new ArrayList<>();
        for (int p = 0; p < Math.min(MAX_PARTITIONS, topicPartitions); p++) {
            partitions.add(new LogPartition(TOPIC, p, true));
        }
        return partitions;
    }

    /**
     * Partitions of the journal of earlier versions. Their records expire, so that an owner copies
     * what it finds there.
     *
     * @param topicPartitions number of partitions of a topic
     */
    public static List<LogPartition> earlier(int topicPartitions) {
        return all(topicPartitions).stream()
                .map(p -> new LogPartition(p.topic(), p.number()))
                .toList();
    }
}
