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
import org.foxtailplank.entry.EntryContext;
import org.foxtailplank.entry.KeyedRequestHandler;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.process.Log;
import org.foxtailplank.settings.Settings;

/** Answers each parsed request once. */
public final class RequestFlow {

    private static final Log LOG = Log.of("entry");

    private final ActorRef<Command> mDispatcher;
    private final KeyedRequestHandler mKeyedRequestHandler;

    private RequestFlow(ActorRef<Command> dispatcher, KeyedRequestHandler keyedRequestHandler) {
        mDispatcher = dispatcher;
        mKeyedRequestHandler = keyedRequestHandler;
    }

    /** Starts a flow for the instances listed by the directory. */
    public static RequestFlow start(
            ClassicActorSystemProvider system, EntryContext context, ZoneId zone) {
        Behavior<Command> dispatcher =
                RequestDispatcher.create(
                        context.directory(),
                        zone,
                        context.settings(),
                        RandomGenerator.getDefault());
        ActorRef<Command> ref =
                Adapter.toTyped(system.classicSystem())
                        .systemActorOf(dispatcher, "dispatcher-" + context.node(), Props.empty());
        return new RequestFlow(ref, context.keyedRequestHandler());
    }

    /** Answers a request; never completes exceptionally. */
    public CompletionStage<Answer> answer(CallerRequest request) {
        Exchange exchange = new Exchange(request);
        if (request.repeatable() || request.key().isEmpty()) {
            return queue(exchange);
        }
        // Checks admission first, so that no key is claimed for a request that would be refused.
        CompletableFuture<Optional<Answer>> refusal = new CompletableFuture<>();
        mDispatcher.tell(new Command.Check(exchange, refusal));
        return refusal.thenCompose(
                        r ->
                                r.<CompletionStage<Answer>>map(CompletableFuture::completedFuture)
                                        .orElseGet(
                                                () ->
                                                        mKeyedRequestHandler.answer(
                                                                request, () -> queue(exchange))))
                .exceptionally(e -> keyedFailed(request, e));
    }

    private static Answer keyedFailed(CallerRequest request, Throwable e) {
        LOG.with("request", request.id()).error("Protecting the idempotency key failed: {0}.", e);
        return EntryAnswers.internalError();
    }

    /** Runs a request whose key is already protected; never completes exceptionally. */
    public CompletionStage<Answer> attempt(CallerRequest request) {
        return queue(new Exchange(request));
    }

    /** Issues an idempotency key; empty if keys are not protected. */
    public Optional<String> issueKey() {
        return mKeyedRequestHandler.issueKey();
    }

    /** Applies a new configuration. */
    public void configure(Settings settings) {
        mDispatcher.tell(new Command.Configure(settings));
    }

    /** Closes the connections to backend servers. */
    public void stop() {
        mDispatcher.tell(Command.Stop.STOP);
    }

    private CompletionStage<Answer> queue(Exchange exchange) {
        mDispatcher.tell(new Command.Queue(exchange));
        return exchange.answer();
    }
}
