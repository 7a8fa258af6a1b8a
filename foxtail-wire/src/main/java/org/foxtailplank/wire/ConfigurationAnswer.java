package org.foxtailplank.wire;

import com.google.protobuf.ByteString;
import java.util.List;

/**
 * What a peer has that is newer: records of the log's tail, or a chunk of its rolled-up state.
 *
 * @param nextOffset next offset that the answering node would fold
 * @param tail records from the asker's next offset on, without a gap
 * @param snapshotOffset offset of the rolled-up state that the chunk belongs to; 0 for none
 * @param position first byte of the chunk
 * @param size bytes of the whole rolled-up state
 * @param chunk bytes of it
 */
public record ConfigurationAnswer(
        long nextOffset,
        List<TailRecord> tail,
        long snapshotOffset,
        long position,
        long size,
        ByteString chunk)
        implements PeerMessage {

    public ConfigurationAnswer {
        tail = List.copyOf(tail);
    }
}
