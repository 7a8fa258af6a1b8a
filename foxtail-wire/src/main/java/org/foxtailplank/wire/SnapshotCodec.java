package org.foxtailplank.wire;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.foxtailplank.wire.generated.snapshot.SnapshotProto;
import org.foxtailplank.wire.internal.records.SnapshotDecoder;
import org.foxtailplank.wire.internal.records.SnapshotEncoder;

/** Encodes and decodes stored states as compressed protobuf. */
public final class SnapshotCodec {
    /** Highest format version that this program can read. */
    static final int READER_VERSION = 1;

    private SnapshotCodec() {}

    /** Encodes a state. */
    public static byte[] encode(StoredState state) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (GZIPOutputStream zip = new GZIPOutputStream(bytes)) {
            SnapshotEncoder.encode(state).setReaderVersion(READER_VERSION).build().writeTo(zip);
        } catch (IOException e) {
            throw new IllegalStateException("unexpected I/O error on an in-memory stream", e);
        }
        return bytes.toByteArray();
    }

    /**
     * Decodes a state.
     *
     * @throws RecordFormatException if the snapshot is malformed or needs a newer reader version
     */
    public static StoredState decode(byte[] data) throws RecordFormatException {
        try (GZIPInputStream zip = new GZIPInputStream(new ByteArrayInputStream(data))) {
            SnapshotProto p = SnapshotProto.parseFrom(zip);
            if (p.getReaderVersion() > READER_VERSION) {
                throw new IllegalArgumentException("it needs a newer reader version");
            }
            return SnapshotDecoder.decode(p);
        } catch (IOException | RuntimeException e) {
            throw new RecordFormatException("unreadable snapshot: " + e.getMessage(), e);
        }
    }
}
