package org.foxtailplank.wire;

import com.google.protobuf.ByteString;
import java.util.List;

/**
 * What a peer has that is newer: records of the log's tail, or a chunk of its rolled-up state.
 *
 * @param tail records that follow on the asker's position, without a gap
 * @param stateNumber number of the rolled-up state at the answering node; 0 for none
 * @param from first byte of the chunk
 * @param size bytes of the whole rolled-up state
 * @param chunk bytes of it
 */
public record ConfigurationAnswer(
        List<TailRecord> tail, long stateNumber, long from, long size, ByteString chunk)
        implements PeerMessage {

    public ConfigurationAnswer {
        tail = List.copyOf(tail);
    }

    /** Records of the log's tail. */
    public static ConfigurationAnswer of(List<TailRecord> tail) {
        return new ConfigurationAnswer(tail, 0, 0, 0, ByteString.EMPTY);
    }

    /** There is nothing to hand out. */
    public static ConfigurationAnswer nothing() {
        return of(List.of());
    }
}
