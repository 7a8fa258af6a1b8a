package org.foxtailplank.wire.internal.exchange;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.state.StatePosition;
import org.foxtailplank.wire.SharedState;
import org.foxtailplank.wire.TailRecord;

/** Shared state whose records are single characters of a text. */
final class InMemorySharedState implements SharedState {

    private final StringBuilder mContent = new StringBuilder();
    private final List<Runnable> mListeners = new CopyOnWriteArrayList<>();
    private final int mMaxTailRecords;
    private int mSnapshotsApplied;

    /** Creates a state that serves at most this number of its newest records as a tail. */
    InMemorySharedState(int maxTailRecords) {
        mMaxTailRecords = maxTailRecords;
    }

    /** Applies records, one per character. */
    synchronized void append(String records) {
        mContent.append(records);
        mListeners.forEach(Runnable::run);
    }

    synchronized String content() {
        return mContent.toString();
    }

    synchronized int snapshotsApplied() {
        return mSnapshotsApplied;
    }

    @Override
    public synchronized StatePosition position() {
        return new StatePosition(0, mContent.length() + 1, mContent.toString().hashCode());
    }

    @Override
    public synchronized CompletionStage<List<TailRecord>> tailAfter(
            StatePosition position, int maxBytes) {
        List<TailRecord> tail = new ArrayList<>();
        long oldest = mContent.length() - mMaxTailRecords;
        for (long offset = position.nextOffset();
                position.nextOffset() > oldest && offset <= mContent.length();
                offset++) {
            ByteString data = ByteString.copyFromUtf8("" + mContent.charAt((int) offset - 1));
            tail.add(new TailRecord(offset, RecordId.of("r" + offset), data));
        }
        return CompletableFuture.completedFuture(tail);
    }

    @Override
    public synchronized CompletionStage<Optional<byte[]>> snapshot() {
        byte[] bytes = mContent.toString().getBytes(StandardCharsets.UTF_8);
        return CompletableFuture.completedFuture(Optional.of(bytes).filter(b -> b.length > 0));
    }

    @Override
    public synchronized CompletionStage<Boolean> offerTail(
            StatePosition position, List<TailRecord> tail) {
        boolean matches = position.equals(position());
        if (matches) {
            tail.forEach(record -> append(record.data().toStringUtf8()));
        }
        return CompletableFuture.completedFuture(matches);
    }

    @Override
    public synchronized CompletionStage<Boolean> offerSnapshot(byte[] snapshot) {
        boolean newer = snapshot.length > mContent.length();
        if (newer) {
            mContent.setLength(0);
            mSnapshotsApplied++;
            append(new String(snapshot, StandardCharsets.UTF_8));
        }
        return CompletableFuture.completedFuture(newer);
    }

    @Override
    public void onChange(Runnable listener) {
        mListeners.add(listener);
    }
}
