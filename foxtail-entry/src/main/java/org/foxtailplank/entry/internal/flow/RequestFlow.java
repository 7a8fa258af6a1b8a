package org.foxtailplank.entry.internal.flow;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.random.RandomGenerator;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.Props;
import org.apache.pekko.actor.typed.javadsl.Adapter;
import org.foxtailplank.entry.Answer;
import org.foxtailplank.entry.CallerRequest;
import org.foxtailplank.entry.EntryParts;
import org.foxtailplank.entry.KeyedRequests;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.process.Log;
import org.foxtailplank.settings.Settings;

/** Takes parsed requests and answers each of them once. */
public final class RequestFlow {

    private static final Log LOG = Log.of("entry");

    private final ActorRef<Command> mBroker;
    private final KeyedRequests mKeyed;

    private RequestFlow(ActorRef<Command> broker, KeyedRequests keyed) {
        mBroker = broker;
        mKeyed = keyed;
    }

    /** Starts with the instances that a directory lists. */
    public static RequestFlow start(
            ClassicActorSystemProvider system, EntryParts parts, ZoneId zone) {
        Behavior<Command> broker =
                Broker.create(
                        parts.directory(), zone, parts.settings(), RandomGenerator.getDefault());
        ActorRef<Command> ref =
                Adapter.toTyped(system.classicSystem())
                        .systemActorOf(broker, "broker-" + parts.node(), Props.empty());
        return new RequestFlow(ref, parts.keyed());
    }

    /** Answers a request; never completes exceptionally. */
    public CompletionStage<Answer> answer(CallerRequest request) {
        Exchange x = new Exchange(request);
        if (request.repeatable() || request.key().isEmpty()) {
            return queue(x);
        }
        // A key costs a claim; one that would be refused anyway is refused before it.
        CompletableFuture<Optional<Answer>> refusal = new CompletableFuture<>();
        mBroker.tell(new Command.Check(x, refusal));
        return refusal.thenCompose(
                        r ->
                                r.<CompletionStage<Answer>>map(CompletableFuture::completedFuture)
                                        .orElseGet(() -> mKeyed.answer(request, () -> queue(x))))
                .exceptionally(e -> keyedFailed(request, e));
    }

    private static Answer keyedFailed(CallerRequest request, Throwable e) {
        LOG.with("request", request.id()).error("The key can't be protected: {0}.", e);
        return Answers.failedInside();
    }

    /** Runs a request whose key is already protected; never completes exceptionally. */
    public CompletionStage<Answer> attempt(CallerRequest request) {
        return queue(new Exchange(request));
    }

    /** Issues an idempotency key; empty where keys are not protected. */
    public Optional<String> issueKey() {
        return mKeyed.issueKey();
    }

    /** Takes over another configuration. */
    public void configure(Settings settings) {
        mBroker.tell(new Command.Configure(settings));
    }

    /** Closes the connections to backend servers. */
    public void stop() {
        mBroker.tell(Command.Stop.STOP);
    }

    private CompletionStage<Answer> queue(Exchange x) {
        mBroker.tell(new Command.Queue(x));
        return x.answer();
    }
}
