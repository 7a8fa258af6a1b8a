package org.foxtailplank.wire;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.wire.generated.snapshot.SnapshotChunkProto;

/**
 * A chunk of a stored snapshot, small enough for one entry of the log.
 *
 * @param snapshot name of the snapshot
 * @param index index of the chunk
 * @param count number of chunks
 * @param restorations number of restorations included in the state
 * @param nextOffset offset after the last record included in the state
 * @param writtenMillis writer's clock; used only to schedule the next snapshot
 * @param checksum SHA-256 of the whole snapshot
 * @param data bytes of this chunk
 */
public record SnapshotChunk(
        String snapshot,
        int index,
        int count,
        long restorations,
        long nextOffset,
        long writtenMillis,
        ByteString checksum,
        ByteString data) {
    /** Maximum data size of a chunk in bytes. */
    public static final int SIZE = 48 * 1024;

    /**
     * Splits an encoded snapshot into chunks. The last chunk has no data, so that the age of the
     * newest snapshot can be read cheaply.
     */
    public static List<SnapshotChunk> split(
            String name, StoredState state, byte[] bytes, long writtenMillis) {
        int count = (bytes.length + SIZE - 1) / SIZE + 1;
        ByteString checksum = checksum(bytes);
        List<SnapshotChunk> chunks = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int from = Math.min(i * SIZE, bytes.length);
            int length = Math.min(SIZE, bytes.length - from);
            chunks.add(
                    new SnapshotChunk(
                            name,
                            i,
                            count,
                            state.restorations(),
                            state.state().nextOffset(),
                            writtenMillis,
                            checksum,
                            ByteString.copyFrom(bytes, from, length)));
        }
        return chunks;
    }

    /** Returns whether this is the last chunk of the snapshot. */
    public boolean isLast() {
        return index == count - 1;
    }

    /** Encodes the chunk. */
    public byte[] encode() {
        return SnapshotChunkProto.newBuilder()
                .setSnapshot(snapshot)
                .setIndex(index)
                .setCount(count)
                .setRestorations(restorations)
                .setNextOffset(nextOffset)
                .setWrittenMillis(writtenMillis)
                .setChecksum(checksum)
                .setData(data)
                .build()
                .toByteArray();
    }

    /** Decodes a chunk. */
    public static SnapshotChunk decode(byte[] bytes) throws RecordFormatException {
        try {
            SnapshotChunkProto p = SnapshotChunkProto.parseFrom(bytes);
            return new SnapshotChunk(
                    p.getSnapshot(),
                    p.getIndex(),
                    p.getCount(),
                    p.getRestorations(),
                    p.getNextOffset(),
                    p.getWrittenMillis(),
                    p.getChecksum(),
                    p.getData());
        } catch (InvalidProtocolBufferException e) {
            throw new RecordFormatException("malformed snapshot chunk", e);
        }
    }

    /** Returns the SHA-256 digest of an encoded snapshot. */
    static ByteString checksum(byte[] bytes) {
        try {
            return ByteString.copyFrom(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
