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

/** State exchange over a peer link; its fields are confined to the link's thread. */
public final class PeerStateExchange implements StateExchange {

    private static final Logger LOG = System.getLogger("org.foxtailplank.peer");
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final PeerLink mLink;
    private final SharedState mState;
    private final StateExchangeLimits mLimits;
    private final StateServer mServer;
    private final CatchUp mCatchUp;
    private final LongAdder mTailRecordsReceived = new LongAdder();
    private final LongAdder mSnapshotsReceived = new LongAdder();
    private final LongAdder mBytesReceived = new LongAdder();
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
                        RETRY_DELAY.toNanos(),
                        new Random(link.self().incarnation().value()));
    }

    /** Starts a state exchange. */
    public static StateExchange start(
            PeerLink link, SharedState state, StateExchangeLimits limits) {
        PeerStateExchange exchange = new PeerStateExchange(link, state, limits);
        link.handle(
                ConfigurationRequest.class, (from, request) -> exchange.mServer.answer(request));
        link.onHeartbeat(member -> exchange.check());
        state.onChange(exchange::report);
        exchange.report();
        link.every(CHECK_INTERVAL, exchange::check);
        return exchange;
    }

    @Override
    public StateExchangeCounts counts() {
        return new StateExchangeCounts(
                mTailRecordsReceived.sum(),
                mSnapshotsReceived.sum(),
                mBytesReceived.sum(),
                mServer.bytesSent(),
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
                                        () -> onAnswer(peer, request, chunks, answer, error)));
    }

    private void onAnswer(
            NodeId peer,
            ConfigurationRequest request,
            ChunkedFetch chunks,
            PeerMessage message,
            Throwable error) {
        mFetching = false;
        if (error != null) {
            onFailure(peer, error.getMessage());
        } else if (!(message instanceof ConfigurationAnswer answer)) {
            onFailure(peer, "unexpected kind of answer");
        } else if (!answer.tail().isEmpty()) {
            onTail(peer, request.position(), answer.tail());
        } else if (answer.stateNumber() != 0) {
            onChunk(peer, chunks, answer);
        } else {
            onFailure(peer, "it has no newer state");
        }
    }

    private void onTail(NodeId peer, StatePosition position, List<TailRecord> tail) {
        mTailRecordsReceived.add(tail.size());
        mBytesReceived.add(tail.stream().mapToLong(r -> r.data().size()).sum());
        onOffered(peer, mState.offerTail(position, tail));
    }

    private void onChunk(NodeId peer, ChunkedFetch chunks, ConfigurationAnswer answer) {
        if (!chunks.append(answer)) {
            onFailure(peer, "invalid snapshot chunk");
            return;
        }
        mBytesReceived.add(answer.chunk().size());
        Optional<byte[]> snapshot = chunks.complete(answer);
        if (snapshot.isEmpty()) {
            fetch(peer, chunks);
            return;
        }
        mSnapshotsReceived.increment();
        onOffered(peer, mState.offerSnapshot(snapshot.get()));
    }

    private void onOffered(NodeId peer, CompletionStage<Boolean> offer) {
        mFetching = true;
        offer.whenComplete(
                (applied, error) -> mLink.execute(() -> onOffered(peer, error == null && applied)));
    }

    private void onOffered(NodeId peer, boolean applied) {
        mFetching = false;
        if (applied) {
            report();
            mCatchUp.peerHelped(mState.position());
            check();
        } else {
            onFailure(peer, "its state is not newer or does not match");
        }
    }

    private void onFailure(NodeId peer, String reason) {
        mFailures.increment();
        mCatchUp.peerFailed(peer, System.nanoTime());
        LOG.log(Level.INFO, "peer: Could not fetch newer state from {0}: {1}.", peer, reason);
    }
}
