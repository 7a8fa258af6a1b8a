package org.foxtailplank.wire;

/**
 * Counters of a state exchange since its start.
 *
 * @param tailRecordsReceived log records received from peers
 * @param snapshotsReceived snapshots received from peers
 * @param bytesReceived bytes of records and snapshots received
 * @param bytesSent bytes of records and snapshots sent
 * @param failures failed requests
 */
public record StateExchangeCounts(
        long tailRecordsReceived,
        long snapshotsReceived,
        long bytesReceived,
        long bytesSent,
        long failures) {}
