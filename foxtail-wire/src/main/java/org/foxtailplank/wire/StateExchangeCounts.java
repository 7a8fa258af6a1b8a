package org.foxtailplank.wire;

/**
 * What a node has exchanged with its peers since it started.
 *
 * @param tailRecordsTaken records of the log's tail taken from peers
 * @param statesTaken rolled-up states taken from peers
 * @param bytesTaken bytes of both
 * @param bytesGiven bytes of both handed out
 * @param failures requests that came to nothing
 */
public record StateExchangeCounts(
        long tailRecordsTaken, long statesTaken, long bytesTaken, long bytesGiven, long failures) {}
