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
import org.foxtailplank.entry.KeyedRequests;
import org.foxtailplank.internal.idempotency.Claimant;
import org.foxtailplank.internal.idempotency.KeyIssuer;
import org.foxtailplank.internal.idempotency.Position;
import org.foxtailplank.platform.PlatformLog;

/** Protects keys: those that callers choose by claims on the log, issued ones by their issuer. */
public final class ProtectedKeys implements KeyedRequests, AutoCloseable {

    private final ActorRef<KeyMessage> mKeeper;
    private final KeyIssuer mIssuer;
    private final KeyOptions mOptions;
    private final KeyClock mClock;

    private ProtectedKeys(
            ActorRef<KeyMessage> keeper, KeyIssuer issuer, KeyOptions options, KeyClock clock) {
        mKeeper = keeper;
        mIssuer = issuer;
        mOptions = options;
        mClock = clock;
    }

    /** Starts to follow the claims stream. */
    public static ProtectedKeys start(
            ClassicActorSystemProvider system,
            Claimant self,
            KeyOptions options,
            PlatformLog log,
            ClaimPeers peers,
            MetricRegistry metrics) {
        KeyIssuer issuer = new KeyIssuer(self, options.peerKey());
        KeyClock clock = KeyClock.system();
        KeyParts parts =
                new KeyParts(self, options, issuer, log, peers, new KeyGauges(metrics), clock);
        String name = "keys-" + self.node() + "-" + Long.toHexString(self.incarnation());
        ActorRef<KeyMessage> keeper =
                Adapter.toTyped(system.classicSystem())
                        .systemActorOf(KeyKeeper.create(parts), name, Props.empty());
        return new ProtectedKeys(keeper, issuer, options, clock);
    }

    @Override
    public CompletionStage<Answer> answer(
            CallerRequest request, Supplier<CompletionStage<Answer>> attempt) {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        mKeeper.tell(new KeyMessage.Submitted(new KeyMessage.Call(request, attempt, answer)));
        return answer;
    }

    @Override
    public synchronized Optional<String> issueKey() {
        Instant expires = mClock.now().plus(mOptions.limits().window());
        return Optional.of(mIssuer.issue(expires));
    }

    /** Answers a request that a peer hands over, because it takes this process to own its key. */
    public CompletionStage<Answer> handedOver(
            CallerRequest request,
            Claimant owner,
            Function<CallerRequest, CompletionStage<Answer>> attempt) {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        Supplier<CompletionStage<Answer>> run = () -> attempt.apply(request);
        mKeeper.tell(new KeyMessage.HandedOver(new KeyMessage.Call(request, run, answer), owner));
        return answer;
    }

    /** How far this entry has read the claims stream. */
    public CompletionStage<Position> position() {
        CompletableFuture<Position> position = new CompletableFuture<>();
        mKeeper.tell(new KeyMessage.PositionAsked(position));
        return position;
    }

    @Override
    public void close() {
        mKeeper.tell(KeyMessage.Stop.INSTANCE);
    }
}
