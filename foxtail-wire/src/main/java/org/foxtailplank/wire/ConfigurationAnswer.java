package org.foxtailplank.wire;

import com.google.protobuf.ByteString;
import java.util.List;

/**
 * Newer state of a peer: records of the log's tail, or a chunk of an encoded snapshot.
 *
 * @param tail consecutive records that follow the requester's position
 * @param stateNumber number of the snapshot at the answering node; 0 for none
 * @param from offset of the chunk in the snapshot
 * @param size size of the whole snapshot in bytes
 * @param chunk bytes of the chunk
 */
public record ConfigurationAnswer(
        List<TailRecord> tail, long stateNumber, long from, long size, ByteString chunk)
        implements PeerMessage {

    public ConfigurationAnswer {
        tail = List.copyOf(tail);
    }

    /** Returns an answer with records of the log's tail. */
    public static ConfigurationAnswer of(List<TailRecord> tail) {
        return new ConfigurationAnswer(tail, 0, 0, 0, ByteString.EMPTY);
    }

    /** Returns an empty answer, for a node that has no newer state. */
    public static ConfigurationAnswer nothing() {
        return of(List.of());
    }
}
