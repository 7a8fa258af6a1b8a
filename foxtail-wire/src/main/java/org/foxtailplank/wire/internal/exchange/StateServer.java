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

/** Hands out the state of this node. */
final class StateServer {

    private final SharedState mState;
    private final StateExchangeLimits mLimits;
    private final LongAdder mBytesGiven = new LongAdder();
    private Optional<ByteString> mKept = Optional.empty();
    private long mKeptAt;
    private long mNumber;

    StateServer(SharedState state, StateExchangeLimits limits) {
        mState = state;
        mLimits = limits;
    }

    long bytesGiven() {
        return mBytesGiven.sum();
    }

    /** Answers by the tail where this node still has it, and by the rolled-up state otherwise. */
    CompletionStage<ConfigurationAnswer> answer(ConfigurationRequest request) {
        if (request.stateNumber() != 0 || mLimits.tailBytes() == 0) {
            return chunk(request);
        }
        return mState.tailAfter(request.position(), mLimits.tailBytes())
                .thenCompose(tail -> fits(tail) ? tail(tail) : chunk(request));
    }

    /**
     * Whether there is a tail that a message can hold.
     *
     * <p>Guards against one large record, such as a whole configuration: the asker would cut the
     * connection for an oversized frame, again and again.
     */
    private boolean fits(List<TailRecord> tail) {
        long bytes = tail.stream().mapToLong(record -> record.data().size()).sum();
        return !tail.isEmpty() && bytes <= mLimits.tailBytes();
    }

    private CompletionStage<ConfigurationAnswer> tail(List<TailRecord> tail) {
        tail.forEach(record -> mBytesGiven.add(record.data().size()));
        return CompletableFuture.completedFuture(ConfigurationAnswer.of(tail));
    }

    private CompletionStage<ConfigurationAnswer> chunk(ConfigurationRequest request) {
        return rollUp(request.stateNumber()).thenApply(kept -> chunkOf(kept, request));
    }

    /** A fetch whose state is no longer kept starts again with the one that is. */
    private synchronized ConfigurationAnswer chunkOf(
            Optional<ByteString> kept, ConfigurationRequest request) {
        if (kept.isEmpty()) {
            return ConfigurationAnswer.nothing();
        }
        ByteString bytes = kept.get();
        boolean same = request.stateNumber() == mNumber;
        int from = same ? (int) Math.max(0, Math.min(request.from(), bytes.size())) : 0;
        int to = Math.min(bytes.size(), from + mLimits.chunkBytes());
        mBytesGiven.add(to - from);
        return new ConfigurationAnswer(
                List.of(), mNumber, from, bytes.size(), bytes.substring(from, to));
    }

    /**
     * The rolled-up state, made anew only now and then.
     *
     * <p>Guards against a crowd of nodes that start together: each of their chunks would roll up
     * the state again, and none would belong to the one before. A fetch that has begun goes on with
     * its state for as long as that is kept.
     */
    private synchronized CompletionStage<Optional<ByteString>> rollUp(long wanted) {
        boolean fresh = System.nanoTime() - mKeptAt < mLimits.keepRollUp().toNanos();
        if (mKept.isPresent() && (fresh || wanted == mNumber)) {
            return CompletableFuture.completedFuture(mKept);
        }
        return mState.rollUp().thenApply(this::keep);
    }

    private synchronized Optional<ByteString> keep(Optional<byte[]> state) {
        mKept = state.map(ByteString::copyFrom);
        mKeptAt = System.nanoTime();
        mNumber++;
        return mKept;
    }
}
