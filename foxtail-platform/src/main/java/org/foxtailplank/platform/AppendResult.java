package org.foxtailplank.platform;

/**
 * Where entries were appended.
 *
 * @param first offset of the first of them
 * @param end offset after the last entry of the stream
 */
public record AppendResult(long first, long end) {}
