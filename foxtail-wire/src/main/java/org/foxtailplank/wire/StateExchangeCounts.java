package org.foxtailplank.wire;

/**
 * Counters of a state exchange since its start.
 *
 * @param tailRecordsReceived log records received from peers
 * @param statesTaken snapshots received from peers
 * @param bytesTaken bytes of records and snapshots received
 * @param bytesSent bytes of records and snapshots sent
 * @param failures failed requests
 */
public record StateExchangeCounts(
        long tailRecordsReceived,
        long statesTaken,
        long bytesTaken,
        long bytesSent,
        long failures) {}
