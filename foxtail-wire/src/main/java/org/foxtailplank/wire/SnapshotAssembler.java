package org.foxtailplank.wire;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Puts snapshots together from parts in any order, and keeps the newest that is whole.
 *
 * <p>Guards against a writer that died half-way, parts of two writers that alternate and parts that
 * expired: a snapshot counts only when each part is there and the checksum of the whole holds.
 */
public final class SnapshotAssembler {
    private final Map<String, TreeMap<Integer, SnapshotChunk>> mParts = new HashMap<>();
    private Optional<StoredState> mNewest = Optional.empty();

    /** Adds a part. */
    public void add(SnapshotChunk chunk) {
        TreeMap<Integer, SnapshotChunk> parts =
                mParts.computeIfAbsent(chunk.snapshot(), s -> new TreeMap<>());
        parts.put(chunk.index(), chunk);
        if (parts.size() == chunk.count()) {
            mParts.remove(chunk.snapshot());
            whole(parts).ifPresent(this::offer);
        }
    }

    /** The whole snapshot that goes furthest. */
    public Optional<StoredState> newest() {
        return mNewest;
    }

    private static Optional<StoredState> whole(TreeMap<Integer, SnapshotChunk> parts) {
        ByteString bytes = ByteString.EMPTY;
        for (SnapshotChunk c : parts.values()) {
            bytes = bytes.concat(c.data());
        }
        byte[] all = bytes.toByteArray();
        ByteString expected = parts.firstEntry().getValue().checksum();
        if (!SnapshotChunk.checksum(all).equals(expected)) {
            return Optional.empty();
        }
        try {
            return Optional.of(SnapshotCodec.decode(all));
        } catch (RecordFormatException e) {
            return Optional.empty();
        }
    }

    private void offer(StoredState state) {
        boolean newer = mNewest.map(n -> n.position().compareTo(state.position()) < 0).orElse(true);
        if (newer) {
            mNewest = Optional.of(state);
        }
    }
}
