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

/** A state that is the text of its records, one character each. */
final class MemorySharedState implements SharedState {

    private final StringBuilder mFolded = new StringBuilder();
    private final List<Runnable> mListeners = new CopyOnWriteArrayList<>();
    private final int mTailRecords;
    private int mAdopted;

    /** Keeps so many of the newest records of the tail. */
    MemorySharedState(int tailRecords) {
        mTailRecords = tailRecords;
    }

    /** The platform's log brings records. */
    synchronized void fold(String records) {
        mFolded.append(records);
        mListeners.forEach(Runnable::run);
    }

    synchronized String folded() {
        return mFolded.toString();
    }

    synchronized int adopted() {
        return mAdopted;
    }

    @Override
    public synchronized StatePosition position() {
        return new StatePosition(0, mFolded.length() + 1, mFolded.toString().hashCode());
    }

    @Override
    public synchronized CompletionStage<List<TailRecord>> tailAfter(
            StatePosition position, int maxBytes) {
        List<TailRecord> tail = new ArrayList<>();
        long oldest = mFolded.length() - mTailRecords;
        for (long offset = position.nextOffset();
                position.nextOffset() > oldest && offset <= mFolded.length();
                offset++) {
            ByteString data = ByteString.copyFromUtf8("" + mFolded.charAt((int) offset - 1));
            tail.add(new TailRecord(offset, RecordId.of("r" + offset), data));
        }
        return CompletableFuture.completedFuture(tail);
    }

    @Override
    public synchronized CompletionStage<Optional<byte[]>> rollUp() {
        byte[] bytes = mFolded.toString().getBytes(StandardCharsets.UTF_8);
        return CompletableFuture.completedFuture(Optional.of(bytes).filter(b -> b.length > 0));
    }

    @Override
    public synchronized CompletionStage<Boolean> offerTail(
            StatePosition position, List<TailRecord> tail) {
        boolean fits = position.equals(position());
        if (fits) {
            tail.forEach(record -> fold(record.data().toStringUtf8()));
        }
        return CompletableFuture.completedFuture(fits);
    }

    @Override
    public synchronized CompletionStage<Boolean> offerRollUp(byte[] state) {
        boolean newer = state.length > mFolded.length();
        if (newer) {
            mFolded.setLength(0);
            mAdopted++;
            fold(new String(state, StandardCharsets.UTF_8));
        }
        return CompletableFuture.completedFuture(newer);
    }

    @Override
    public void onChange(Runnable listener) {
        mListeners.add(listener);
    }
}
