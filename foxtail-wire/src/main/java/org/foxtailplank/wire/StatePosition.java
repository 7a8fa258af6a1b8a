package org.foxtailplank.wire;

/**
 * How far a node has folded the log.
 *
 * @param configurationVersion version of the configuration in force; 0 for none
 * @param nextOffset offset that it would fold next; 0 when it has folded nothing
 */
public record StatePosition(long configurationVersion, long nextOffset) {}
