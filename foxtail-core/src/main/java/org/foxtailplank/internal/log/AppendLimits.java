package org.foxtailplank.internal.log;

/**
 * Limits of an append queue.
 *
 * @param groups maximum number of queued groups
 * @param batchRecords maximum number of records per call
 * @param batchBytes maximum number of bytes per call
 * @param lateCallNanos time after which a call without a response can no longer take effect
 */
public record AppendLimits(int groups, int batchRecords, long batchBytes, long lateCallNanos) {}
