package org.foxtailplank.port;

/**
 * A partition of the shared log.
 *
 * @param topic name of the topic
 * @param number number of the partition in the topic
 */
public record LogPartition(String topic, int number) {}
