package org.foxtailplank.internal.log;

/**
 * Limits of an append queue.
 *
 * @param groups groups that may wait
 * @param batchRecords records in one call
 * @param batchBytes bytes in one call
 * @param lateNanos time after which a call that got no answer is not expected to take effect any
 *     more
 */
public record AppendLimits(int groups, int batchRecords, long batchBytes, long lateNanos) {}
