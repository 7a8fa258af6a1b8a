package org.foxtailplank.port;

/**
 * A partition of the shared log.
 *
 * @param topic name of the topic
 * @param number number of the partition in the topic
 * @param keyed whether the topic's records have keys, so that the log permanently retains the
 *     newest record of each key
 */
public record LogPartition(String topic, int number, boolean keyed) {

    /** Creates a partition of a topic without keys, all records of which expire. */
    public LogPartition(String topic, int number) {
        this(topic, number, false);
    }
}
