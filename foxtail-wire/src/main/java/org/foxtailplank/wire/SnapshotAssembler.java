package org.foxtailplank.wire;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Assembles snapshots from chunks in any order and keeps the newest complete one.
 *
 * <p>Tolerates crashed writers, interleaved chunks of several writers and expired chunks: a
 * snapshot is used only if all its chunks are present and its checksum matches.
 */
public final class SnapshotAssembler {
    private final Map<String, TreeMap<Integer, SnapshotChunk>> mChunks = new HashMap<>();
    private Optional<StoredState> mNewest = Optional.empty();

    /** Adds a chunk. */
    public void add(SnapshotChunk chunk) {
        TreeMap<Integer, SnapshotChunk> chunks =
                mChunks.computeIfAbsent(chunk.snapshot(), s -> new TreeMap<>());
        chunks.put(chunk.index(), chunk);
        if (chunks.size() == chunk.count()) {
            mChunks.remove(chunk.snapshot());
            assemble(chunks).ifPresent(this::offer);
        }
    }

    /** Returns the complete snapshot with the highest position. */
    public Optional<StoredState> newest() {
        return mNewest;
    }

    private static Optional<StoredState> assemble(TreeMap<Integer, SnapshotChunk> chunks) {
        ByteString bytes = ByteString.EMPTY;
        for (SnapshotChunk c : chunks.values()) {
            bytes = bytes.concat(c.data());
        }
        byte[] all = bytes.toByteArray();
        ByteString expected = chunks.firstEntry().getValue().checksum();
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
