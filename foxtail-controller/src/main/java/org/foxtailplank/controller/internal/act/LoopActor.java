package org.foxtailplank.controller.internal.act;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;

/** Runs a loop as an actor, which confines it to one thread at a time. */
public final class LoopActor extends AbstractBehavior<LoopActor.Command> {
    /** Messages of the actor. */
    public sealed interface Command {}

    /** Runs the loop once: the interval has elapsed or the state has changed. */
    public enum Reconcile implements Command {
        NOW
    }

    private record Deliver(Runnable handler) implements Command {}

    private final Runnable mReconcile;

    /**
     * Returns the behavior of a loop.
     *
     * @param loop creates the function that runs the loop once; its results return through the
     *     mailbox
     * @param lookEvery time between runs while the state does not change
     */
    public static Behavior<Command> of(Function<Mailbox, Runnable> loop, Duration lookEvery) {
        return Behaviors.setup(
                context ->
                        Behaviors.withTimers(
                                timers -> new LoopActor(context, timers, loop, lookEvery)));
    }

    private LoopActor(
            ActorContext<Command> context,
            TimerScheduler<Command> timers,
            Function<Mailbox, Runnable> loop,
            Duration lookEvery) {
        super(context);
        mReconcile = loop.apply(new PipeToSelf(context));
        timers.startTimerWithFixedDelay(Reconcile.NOW, lookEvery);
        context.getSelf().tell(Reconcile.NOW);
    }

    @Override
    public Receive<Command> createReceive() {
        return newReceiveBuilder()
                .onMessage(Reconcile.class, this::onLook)
                .onMessage(Deliver.class, this::onDeliver)
                .build();
    }

    private Behavior<Command> onLook(Reconcile message) {
        mReconcile.run();
        return this;
    }

    private Behavior<Command> onDeliver(Deliver deliver) {
        deliver.handler().run();
        return this;
    }

    /** Delivers results to the actor as messages. */
    private record PipeToSelf(ActorContext<Command> context) implements Mailbox {
        @Override
        public <T> void deliver(CompletionStage<T> stage, Consumer<Optional<T>> handler) {
            context.pipeToSelf(
                    stage,
                    (value, error) ->
                            new Deliver(() -> handler.accept(Optional.ofNullable(value))));
        }
    }
}
