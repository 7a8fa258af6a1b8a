package org.foxtailplank.wire.internal.exchange;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.LongAdder;
import org.foxtailplank.wire.ConfigurationAnswer;
import org.foxtailplank.wire.ConfigurationRequest;
import org.foxtailplank.wire.RolledUpState;
import org.foxtailplank.wire.SharedState;
import org.foxtailplank.wire.StateExchangeLimits;
import org.foxtailplank.wire.TailRecord;

/** Hands out the state of this node. */
final class StateServer {

    private final SharedState mState;
    private final StateExchangeLimits mLimits;
    private final LongAdder mBytesGiven = new LongAdder();
    private Optional<RolledUpState> mKept = Optional.empty();
    private long mKeptAt;

    StateServer(SharedState state, StateExchangeLimits limits) {
        mState = state;
        mLimits = limits;
    }

    long bytesGiven() {
        return mBytesGiven.sum();
    }

    /** Answers by the tail where this node still has it, and by the rolled-up state otherwise. */
    CompletionStage<ConfigurationAnswer> answer(ConfigurationRequest request) {
        if (request.snapshotOffset() != 0) {
            return chunk(request);
        }
        return mState.tail(request.nextOffset(), mLimits.tailBytes())
                .thenCompose(tail -> tail.isPresent() ? tail(tail.get()) : chunk(request));
    }

    private CompletionStage<ConfigurationAnswer> tail(List<TailRecord> tail) {
        tail.forEach(record -> mBytesGiven.add(record.data().size()));
        return mState.position()
                .thenApply(
                        position ->
                                new ConfigurationAnswer(
                                        position.nextOffset(), tail, 0, 0, 0, ByteString.EMPTY));
    }

    private CompletionStage<ConfigurationAnswer> chunk(ConfigurationRequest request) {
        return rollUp().thenApply(state -> chunkOf(state, request));
    }

    /** A fetch whose state is no longer kept starts again with the one that is. */
    private ConfigurationAnswer chunkOf(
            Optional<RolledUpState> rolledUp, ConfigurationRequest request) {
        if (rolledUp.isEmpty()) {
            return new ConfigurationAnswer(0, List.of(), 0, 0, 0, ByteString.EMPTY);
        }
        RolledUpState state = rolledUp.get();
        ByteString bytes = state.bytes();
        boolean same = request.snapshotOffset() == state.nextOffset();
        long from = same ? Math.max(0, Math.min(request.position(), bytes.size())) : 0;
        int to = (int) Math.min(bytes.size(), from + mLimits.chunkBytes());
        mBytesGiven.add(to - from);
        return new ConfigurationAnswer(
                state.nextOffset(),
                List.of(),
                state.nextOffset(),
                from,
                bytes.size(),
                bytes.substring((int) from, to));
    }

    /**
     * The rolled-up state, made anew only now and then.
     *
     * <p>Guards against a crowd of nodes that start together: each of their chunks would roll up
     * the state again, and none would belong to the one before.
     */
    private synchronized CompletionStage<Optional<RolledUpState>> rollUp() {
        long now = System.nanoTime();
        if (mKept.isPresent() && now - mKeptAt < mLimits.keepRollUp().toNanos()) {
            return CompletableFuture.completedFuture(mKept);
        }
        return mState.rollUp().thenApply(this::keep);
    }

    private synchronized Optional<RolledUpState> keep(Optional<RolledUpState> state) {
        mKept = state;
        mKeptAt = System.nanoTime();
        return state;
    }
}
