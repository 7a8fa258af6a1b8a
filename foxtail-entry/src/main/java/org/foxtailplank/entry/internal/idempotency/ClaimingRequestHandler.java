package org.foxtailplank.entry.internal.idempotency;

import com.codahale.metrics.MetricRegistry;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Props;
import org.apache.pekko.actor.typed.javadsl.Adapter;
import org.foxtailplank.entry.Answer;
import org.foxtailplank.entry.CallerRequest;
import org.foxtailplank.entry.KeyedRequestHandler;
import org.foxtailplank.internal.idempotency.Claimant;
import org.foxtailplank.internal.idempotency.KeyIssuer;
import org.foxtailplank.internal.idempotency.Position;
import org.foxtailplank.platform.PlatformLog;

/** Protects callers' keys by claims on the log, and issued keys by running them at the issuer. */
public final class ClaimingRequestHandler implements KeyedRequestHandler, AutoCloseable {

    private final ActorRef<KeyMessage> mActor;
    private final KeyIssuer mIssuer;
    private final KeyOptions mOptions;
    private final MonotonicWallClock mClock;

    private ClaimingRequestHandler(
            ActorRef<KeyMessage> actor,
            KeyIssuer issuer,
            KeyOptions options,
            MonotonicWallClock clock) {
        mActor = actor;
        mIssuer = issuer;
        mOptions = options;
        mClock = clock;
    }

    /** Starts an actor that follows the claims stream. */
    public static ClaimingRequestHandler start(
            ClassicActorSystemProvider system,
            Claimant self,
            KeyOptions options,
            PlatformLog log,
            ClaimPeers peers,
            MetricRegistry metrics) {
        KeyIssuer issuer = new KeyIssuer(self, options.peerKey());
        MonotonicWallClock clock = MonotonicWallClock.system();
        KeyParts parts =
                new KeyParts(self, options, issuer, log, peers, new KeyMetrics(metrics), clock);
        String name = "keys-" + self.node() + "-" + Long.toHexString(self.incarnation());
        ActorRef<KeyMessage> actor =
                Adapter.toTyped(system.classicSystem())
                        .systemActorOf(KeyCoordinatorActor.create(parts), name, Props.empty());
        return new ClaimingRequestHandler(actor, issuer, options, clock);
    }

    @Override
    public CompletionStage<Answer> answer(
            CallerRequest request, Supplier<CompletionStage<Answer>> attempt) {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        mActor.tell(new KeyMessage.Submitted(new KeyMessage.Call(request, attempt, answer)));
        return answer;
    }

    @Override
    public synchronized Optional<String> issueKey() {
        Instant expires = mClock.now().plus(mOptions.limits().window());
        return Optional.of(mIssuer.issue(expires));
    }

    /** Answers a request handed over by a peer that considers this process the owner of its key. */
    public CompletionStage<Answer> handedOver(
            CallerRequest request,
            Claimant owner,
            Function<CallerRequest, CompletionStage<Answer>> attempt) {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        Supplier<CompletionStage<Answer>> run = () -> attempt.apply(request);
        mActor.tell(new KeyMessage.HandedOver(new KeyMessage.Call(request, run, answer), owner));
        return answer;
    }

    /** Returns this entry's read position in the claims stream. */
    public CompletionStage<Position> position() {
        CompletableFuture<Position> position = new CompletableFuture<>();
        mActor.tell(new KeyMessage.PositionRequested(position));
        return position;
    }

    @Override
    public void close() {
        mActor.tell(KeyMessage.Stop.INSTANCE);
    }
}
