package org.foxtailplank.wire.internal.exchange;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.wire.RolledUpState;
import org.foxtailplank.wire.SharedState;
import org.foxtailplank.wire.StatePosition;
import org.foxtailplank.wire.TailRecord;

/** A state that is the text of its records, one character each; each is a configuration. */
final class MemorySharedState implements SharedState {

    private final StringBuilder mFolded = new StringBuilder();
    private final List<Runnable> mListeners = new CopyOnWriteArrayList<>();
    private final int mTailRecords;
    private int mAdopted;

    /** Keeps the newest records of the tail. */
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
    public synchronized CompletionStage<StatePosition> position() {
        long next = mFolded.isEmpty() ? 0 : mFolded.length() + 1;
        return CompletableFuture.completedFuture(new StatePosition(mFolded.length(), next));
    }

    @Override
    public synchronized CompletionStage<Optional<List<TailRecord>>> tail(long from, int maxBytes) {
        long first = Math.max(1, from);
        if (first <= mFolded.length() - mTailRecords) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        List<TailRecord> tail = new ArrayList<>();
        for (long offset = first; offset <= mFolded.length(); offset++) {
            ByteString data = ByteString.copyFromUtf8("" + mFolded.charAt((int) offset - 1));
            tail.add(new TailRecord(offset, RecordId.of("r" + offset), data));
        }
        return CompletableFuture.completedFuture(Optional.of(tail));
    }

    @Override
    public synchronized CompletionStage<Optional<RolledUpState>> rollUp() {
        ByteString bytes = ByteString.copyFromUtf8(mFolded.toString());
        return CompletableFuture.completedFuture(
                Optional.of(new RolledUpState(mFolded.length() + 1, bytes))
                        .filter(s -> !s.bytes().isEmpty()));
    }

    @Override
    public synchronized CompletionStage<StatePosition> offerTail(List<TailRecord> tail) {
        for (TailRecord record : tail) {
            if (record.offset() == mFolded.length() + 1) {
                fold(record.data().toStringUtf8());
            }
        }
        return position();
    }

    @Override
    public synchronized CompletionStage<StatePosition> offerRollUp(RolledUpState state) {
        if (state.nextOffset() > mFolded.length() + 1) {
            mFolded.setLength(0);
            mAdopted++;
            fold(state.bytes().toStringUtf8());
        }
        return position();
    }

    @Override
    public void onChange(Runnable listener) {
        mListeners.add(listener);
    }
}
