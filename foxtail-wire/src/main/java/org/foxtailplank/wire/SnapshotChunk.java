package org.foxtailplank.wire;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.wire.generated.snapshot.SnapshotChunkProto;

/**
 * A part of a stored snapshot, small enough for one entry of the log.
 *
 * @param snapshot name of the snapshot
 * @param index place among the parts
 * @param count number of parts
 * @param restorations restorations that the state holds
 * @param nextOffset offset that the state goes up to
 * @param writtenMillis clock of its writer; decides only when the next snapshot is due
 * @param checksum SHA-256 of the whole snapshot
 * @param data bytes of this part
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
    /** Bytes of one part. */
    public static final int SIZE = 48 * 1024;

    /**
     * Splits the bytes of a snapshot. The last part holds none of them: whoever only wants to know
     * how old the newest snapshot is reads just that part.
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

    /** Whether nothing of the snapshot comes after this part. */
    public boolean isLast() {
        return index == count - 1;
    }

    /** Encodes the part. */
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

    /** Decodes a part. */
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
            throw new RecordFormatException("no part of a snapshot", e);
        }
    }

    /** SHA-256 of the bytes of a whole snapshot. */
    static ByteString checksum(byte[] bytes) {
        try {
            return ByteString.copyFrom(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
