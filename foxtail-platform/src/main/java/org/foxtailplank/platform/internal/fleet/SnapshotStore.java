package org.foxtailplank.platform.internal.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Predicate;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.platform.LogEntry;
import org.foxtailplank.platform.PlatformLog;
import org.foxtailplank.platform.ReadResult;
import org.foxtailplank.platform.StoredEntry;
import org.foxtailplank.wire.RecordFormatException;
import org.foxtailplank.wire.SnapshotAssembler;
import org.foxtailplank.wire.SnapshotChunk;
import org.foxtailplank.wire.SnapshotCodec;
import org.foxtailplank.wire.StoredState;

/** Snapshots on a stream of their own. */
final class SnapshotStore {
    static final String STREAM = "fleet-snapshots";

    /** The log answers with its bounds and no entry, which costs next to nothing. */
    private static final long BEYOND_THE_END = 1L << 52;

    private static final int PAGE = 32;
    private static final int GROWTH = 4;

    private final PlatformLog mLog;

    SnapshotStore(PlatformLog log) {
        mLog = log;
    }

    /** Writes a snapshot part by part; completes once all of it is stored. */
    CompletionStage<Void> write(String name, StoredState state, long nowMillis) {
        byte[] bytes = SnapshotCodec.encode(state);
        CompletionStage<?> done = CompletableFuture.completedFuture(null);
        for (SnapshotChunk c : SnapshotChunk.split(name, state, bytes, nowMillis)) {
            LogEntry entry = new LogEntry(RecordId.of(name + "-" + c.index()), c.encode());
            done = done.thenCompose(x -> mLog.append(STREAM, List.of(entry)));
        }
        return done.thenApply(x -> null);
    }

    /** The newest part, if the snapshot that it ends is whole. */
    CompletionStage<Optional<SnapshotChunk>> newestPart() {
        return bounds().thenCompose(
                        b -> mLog.read(STREAM, Math.max(1, b.end() - 1), 1, Duration.ZERO))
                .thenApply(
                        r ->
                                r.entries().stream()
                                        .findFirst()
                                        .flatMap(SnapshotStore::chunk)
                                        .filter(SnapshotChunk::isLast));
    }

    /** The snapshot that goes furthest of those that are whole. */
    CompletionStage<Optional<StoredState>> newest() {
        return find(c -> true);
    }

    /** The snapshot of a name, if it is whole. */
    CompletionStage<Optional<StoredState>> named(String name) {
        return find(c -> c.snapshot().equals(name));
    }

    private CompletionStage<Optional<StoredState>> find(Predicate<SnapshotChunk> wanted) {
        return bounds().thenCompose(b -> search(b.oldest(), b.end(), PAGE, wanted));
    }

    private CompletionStage<ReadResult> bounds() {
        return mLog.read(STREAM, BEYOND_THE_END, 1, Duration.ZERO);
    }

    /** Looks through the newest entries, and through more of them while nothing is found. */
    private CompletionStage<Optional<StoredState>> search(
            long oldest, long end, int entries, Predicate<SnapshotChunk> wanted) {
        long from = Math.max(oldest, end - entries);
        SnapshotAssembler assembler = new SnapshotAssembler();
        return collect(from, end, wanted, assembler)
                .thenCompose(
                        x ->
                                assembler.newest().isPresent() || from <= oldest
                                        ? CompletableFuture.completedFuture(assembler.newest())
                                        : search(oldest, end, entries * GROWTH, wanted));
    }

    private CompletionStage<Void> collect(
            long from, long end, Predicate<SnapshotChunk> wanted, SnapshotAssembler assembler) {
        if (from >= end) {
            return CompletableFuture.completedFuture(null);
        }
        return mLog.read(STREAM, from, PAGE, Duration.ZERO)
                .thenCompose(
                        r -> {
                            r.entries().stream()
                                    .flatMap(e -> chunk(e).filter(wanted).stream())
                                    .forEach(assembler::add);
                            long next = Math.max(from + r.entries().size(), r.oldest());
                            boolean over = r.entries().isEmpty() && next == from;
                            return collect(over ? end : next, end, wanted, assembler);
                        });
    }

    private static Optional<SnapshotChunk> chunk(StoredEntry entry) {
        try {
            return Optional.of(SnapshotChunk.decode(entry.data()));
        } catch (RecordFormatException e) {
            return Optional.empty();
        }
    }
}
