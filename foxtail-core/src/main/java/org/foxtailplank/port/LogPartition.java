package org.foxtailplank.port;

/**
 * A partition of the shared log.
 *
 * @param topic name of its topic
 * @param number its number in the topic
 */
public record LogPartition(String topic, int number) {}
