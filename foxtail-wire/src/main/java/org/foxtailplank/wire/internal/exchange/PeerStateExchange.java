package org.foxtailplank.wire.internal.exchange;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.LongAdder;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.internal.membership.CatchUp;
import org.foxtailplank.state.StatePosition;
import org.foxtailplank.wire.ConfigurationAnswer;
import org.foxtailplank.wire.ConfigurationRequest;
import org.foxtailplank.wire.PeerLink;
import org.foxtailplank.wire.PeerMessage;
import org.foxtailplank.wire.SharedState;
import org.foxtailplank.wire.StateExchange;
import org.foxtailplank.wire.StateExchangeCounts;
import org.foxtailplank.wire.StateExchangeLimits;
import org.foxtailplank.wire.TailRecord;

/** The exchange over a peer link; its own state belongs to the link's thread. */
public final class PeerStateExchange implements StateExchange {

    private static final Logger LOG = System.getLogger("org.foxtailplank.peer");
    private static final Duration CHECK_EVERY = Duration.ofMillis(100);
    private static final Duration AVOID = Duration.ofSeconds(1);

    private final PeerLink mLink;
    private final SharedState mState;
    private final StateExchangeLimits mLimits;
    private final StateServer mServer;
    private final CatchUp mCatchUp;
    private final LongAdder mTailTaken = new LongAdder();
    private final LongAdder mStatesTaken = new LongAdder();
    private final LongAdder mBytesTaken = new LongAdder();
    private final LongAdder mFailures = new LongAdder();
    private boolean mFetching;

    private PeerStateExchange(PeerLink link, SharedState state, StateExchangeLimits limits) {
        mLink = link;
        mState = state;
        mLimits = limits;
        mServer = new StateServer(state, limits);
        mCatchUp =
                new CatchUp(
                        link.self().zone(),
                        limits.grace().toNanos(),
                        AVOID.toNanos(),
                        new Random(link.self().incarnation().value()));
    }

    /** Starts an exchange. */
    public static StateExchange start(
            PeerLink link, SharedState state, StateExchangeLimits limits) {
        PeerStateExchange exchange = new PeerStateExchange(link, state, limits);
        link.handle(
                ConfigurationRequest.class, (from, request) -> exchange.mServer.answer(request));
        link.onHeartbeat(member -> exchange.check());
        state.onChange(exchange::report);
        exchange.report();
        link.every(CHECK_EVERY, exchange::check);
        return exchange;
    }

    @Override
    public StateExchangeCounts counts() {
        return new StateExchangeCounts(
                mTailTaken.sum(),
                mStatesTaken.sum(),
                mBytesTaken.sum(),
                mServer.bytesGiven(),
                mFailures.sum());
    }

    private void report() {
        mLink.report(mState.position());
    }

    private void check() {
        if (!mFetching) {
            mCatchUp.peerToAsk(mState.position(), mLink.members(), System.nanoTime())
                    .ifPresent(peer -> fetch(peer, new ChunkedFetch(mLimits.maxStateBytes())));
        }
    }

    private void fetch(NodeId peer, ChunkedFetch chunks) {
        mFetching = true;
        ConfigurationRequest request =
                new ConfigurationRequest(mState.position(), chunks.number(), chunks.from());
        mLink.ask(peer, request, mLimits.timeout())
                .whenComplete(
                        (answer, error) ->
                                mLink.execute(
                                        () -> answered(peer, request, chunks, answer, error)));
    }

    private void answered(
            NodeId peer,
            ConfigurationRequest request,
            ChunkedFetch chunks,
            PeerMessage message,
            Throwable error) {
        mFetching = false;
        if (error != null) {
            failed(peer, error.getMessage());
        } else if (!(message instanceof ConfigurationAnswer answer)) {
            failed(peer, "its answer is of another kind");
        } else if (!answer.tail().isEmpty()) {
            takeTail(peer, request.position(), answer.tail());
        } else if (answer.stateNumber() != 0) {
            takeChunk(peer, chunks, answer);
        } else {
            failed(peer, "it has nothing to hand out");
        }
    }

    private void takeTail(NodeId peer, StatePosition position, List<TailRecord> tail) {
        mTailTaken.add(tail.size());
        mBytesTaken.add(tail.stream().mapToLong(r -> r.data().size()).sum());
        offered(peer, mState.offerTail(position, tail));
    }

    private void takeChunk(NodeId peer, ChunkedFetch chunks, ConfigurationAnswer answer) {
        if (!chunks.take(answer)) {
            failed(peer, "a chunk of its state does not fit");
            return;
        }
        mBytesTaken.add(answer.chunk().size());
        Optional<byte[]> whole = chunks.whole(answer);
        if (whole.isEmpty()) {
            fetch(peer, chunks);
            return;
        }
        mStatesTaken.increment();
        offered(peer, mState.offerRollUp(whole.get()));
    }

    private void offered(NodeId peer, CompletionStage<Boolean> taken) {
        mFetching = true;
        taken.whenComplete(
                (good, error) -> mLink.execute(() -> offered(peer, error == null && good)));
    }

    private void offered(NodeId peer, boolean taken) {
        mFetching = false;
        if (taken) {
            report();
            mCatchUp.helped(mState.position());
            check();
        } else {
            failed(peer, "what it has is not newer or does not fit");
        }
    }

    private void failed(NodeId peer, String why) {
        mFailures.increment();
        mCatchUp.failed(peer, System.nanoTime());
        LOG.log(Level.INFO, "peer: Could not fetch newer state from {0}: {1}.", peer, why);
    }
}
