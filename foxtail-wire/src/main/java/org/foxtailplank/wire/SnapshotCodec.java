package org.foxtailplank.wire;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.foxtailplank.wire.generated.snapshot.SnapshotProto;
import org.foxtailplank.wire.internal.records.SnapshotDecoder;
import org.foxtailplank.wire.internal.records.SnapshotEncoder;

/** Turns a stored state into compressed bytes and back. */
public final class SnapshotCodec {
    /** Version of the format up to which this program understands snapshots. */
    static final int READER_VERSION = 1;

    private SnapshotCodec() {}

    /** Encodes a state. */
    public static byte[] encode(StoredState state) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (GZIPOutputStream zip = new GZIPOutputStream(bytes)) {
            SnapshotEncoder.encode(state).setReaderVersion(READER_VERSION).build().writeTo(zip);
        } catch (IOException e) {
            throw new IllegalStateException("memory can't be written", e);
        }
        return bytes.toByteArray();
    }

    /**
     * Decodes a state.
     *
     * @throws RecordFormatException if the bytes are no snapshot, or one that needs a newer program
     */
    public static StoredState decode(byte[] data) throws RecordFormatException {
        try (GZIPInputStream zip = new GZIPInputStream(new ByteArrayInputStream(data))) {
            SnapshotProto p = SnapshotProto.parseFrom(zip);
            if (p.getReaderVersion() > READER_VERSION) {
                throw new IllegalArgumentException("it needs a newer program");
            }
            return SnapshotDecoder.decode(p);
        } catch (IOException | RuntimeException e) {
            throw new RecordFormatException("no snapshot: " + e.getMessage(), e);
        }
    }
}
