package org.foxtailplank.wire.internal.exchange;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.LongAdder;
import org.foxtailplank.wire.ConfigurationAnswer;
import org.foxtailplank.wire.ConfigurationRequest;
import org.foxtailplank.wire.SharedState;
import org.foxtailplank.wire.StateExchangeLimits;
import org.foxtailplank.wire.TailRecord;

/** Serves the state of this node to its peers. */
final class StateServer {

    private final SharedState mState;
    private final StateExchangeLimits mLimits;
    private final LongAdder mBytesSent = new LongAdder();
    private Optional<ByteString> mCached = Optional.empty();
    private long mCachedAt;
    private long mNumber;

    StateServer(SharedState state, StateExchangeLimits limits) {
        mState = state;
        mLimits = limits;
    }

    long bytesSent() {
        return mBytesSent.sum();
    }

    /** Answers with log records if they are still in memory, and with a snapshot otherwise. */
    CompletionStage<ConfigurationAnswer> answer(ConfigurationRequest request) {
        if (request.stateNumber() != 0 || mLimits.tailBytes() == 0) {
            return chunk(request);
        }
        return mState.tailAfter(request.position(), mLimits.tailBytes())
                .thenCompose(tail -> fitsInMessage(tail) ? tail(tail) : chunk(request));
    }

    /**
     * Returns whether the records fit into one message.
     *
     * <p>A large record, such as a whole configuration, would make the requester close the
     * connection because of an oversized frame.
     */
    private boolean fitsInMessage(List<TailRecord> tail) {
        long bytes = tail.stream().mapToLong(record -> record.data().size()).sum();
        return !tail.isEmpty() && bytes <= mLimits.tailBytes();
    }

    private CompletionStage<ConfigurationAnswer> tail(List<TailRecord> tail) {
        tail.forEach(record -> mBytesSent.add(record.data().size()));
        return CompletableFuture.completedFuture(ConfigurationAnswer.of(tail));
    }

    private CompletionStage<ConfigurationAnswer> chunk(ConfigurationRequest request) {
        return snapshot(request.stateNumber()).thenApply(snapshot -> chunkOf(snapshot, request));
    }

    /**
     * Returns the requested chunk, or the first one if the requested snapshot has been replaced.
     */
    private synchronized ConfigurationAnswer chunkOf(
            Optional<ByteString> snapshot, ConfigurationRequest request) {
        if (snapshot.isEmpty()) {
            return ConfigurationAnswer.nothing();
        }
        ByteString bytes = snapshot.get();
        boolean same = request.stateNumber() == mNumber;
        int from = same ? (int) Math.max(0, Math.min(request.from(), bytes.size())) : 0;
        int to = Math.min(bytes.size(), from + mLimits.chunkBytes());
        mBytesSent.add(to - from);
        return new ConfigurationAnswer(
                List.of(), mNumber, from, bytes.size(), bytes.substring(from, to));
    }

    /**
     * Returns the cached snapshot, or a new one if it is outdated and not the one being fetched.
     *
     * <p>Without the cache, each chunk request of concurrently starting nodes would create another
     * snapshot, and the chunks of one fetch would not belong together.
     */
    private synchronized CompletionStage<Optional<ByteString>> snapshot(long requested) {
        boolean fresh = System.nanoTime() - mCachedAt < mLimits.snapshotCacheTime().toNanos();
        if (mCached.isPresent() && (fresh || requested == mNumber)) {
            return CompletableFuture.completedFuture(mCached);
        }
        return mState.snapshot().thenApply(this::cache);
    }

    private synchronized Optional<ByteString> cache(Optional<byte[]> state) {
        mCached = state.map(ByteString::copyFrom);
        mCachedAt = System.nanoTime();
        mNumber++;
        return mCached;
    }
}
