package org.foxtailplank.controller.internal.act;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;
import org.foxtailplank.id.ZoneId;

/** Runs the loop of a shard as an actor, so that it never runs on two threads at once. */
public final class ShardController extends AbstractBehavior<ShardController.Command> {
    /** What the shard is told. */
    public sealed interface Command {}

    /** It is time to look, or the state has changed. */
    public enum Look implements Command {
        NOW
    }

    private record Deliver(Runnable handler) implements Command {}

    private final ShardLoop mLoop;

    /** The behavior of the shard of a zone. */
    public static Behavior<Command> of(ZoneId zone, ShardParts parts) {
        return Behaviors.setup(
                context ->
                        Behaviors.withTimers(
                                timers -> new ShardController(context, timers, zone, parts)));
    }

    private ShardController(
            ActorContext<Command> context,
            TimerScheduler<Command> timers,
            ZoneId zone,
            ShardParts parts) {
        super(context);
        mLoop = new ShardLoop(zone, parts, new PipeToSelf(context));
        timers.startTimerWithFixedDelay(Look.NOW, ShardLoop.LOOK_EVERY);
        context.getSelf().tell(Look.NOW);
    }

    @Override
    public Receive<Command> createReceive() {
        return newReceiveBuilder()
                .onMessage(Look.class, this::onLook)
                .onMessage(Deliver.class, this::onDeliver)
                .build();
    }

    private Behavior<Command> onLook(Look look) {
        mLoop.look();
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
