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

/** Runs a loop as an actor, so that it never runs on two threads at once. */
public final class LoopActor extends AbstractBehavior<LoopActor.Command> {
    /** What the loop is told. */
    public sealed interface Command {}

    /** It is time to look, or the state has changed. */
    public enum Reconcile implements Command {
        NOW
    }

    private record Deliver(Runnable handler) implements Command {}

    private final Runnable mReconcile;

    /**
     * The behavior of a loop.
     *
     * @param loop makes the loop's look from the mailbox that brings back its results
     * @param lookEvery time between looks where nothing changes
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
                .onMessage(Reconcile.class, this::onReconcile)
                .onMessage(Deliver.class, this::onDeliver)
                .build();
    }

    private Behavior<Command> onReconcile(Reconcile look) {
        mReconcile.run();
        return this;
    }

    private Behavior<Command> onDeliver(Deliver deliver) {
        deliver.handler().run();
        return this;
    }

    /** Sends results to the actor itself. */
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
