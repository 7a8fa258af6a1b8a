package org.foxtailplank.node.admission;

import org.foxtailplank.admission.QueueCapacity;
import org.foxtailplank.admission.ShareDivision;

/**
 * The owner's measurement of a pool.
 *
 * @param capacity capacity and waiting work, at a time on the owner's monotonic clock
 * @param room work that all nodes together may accept until the next measurement, in milliseconds
 *     times thousandths of a core
 */
public record PoolRoom(QueueCapacity capacity, long room) {
    /** Returns what is reported to a node that accepts a part of the work, in millionths. */
    public ReportedPool toReport(int part) {
        return new ReportedPool(capacity, ShareDivision.share(room, part), part);
    }
}
