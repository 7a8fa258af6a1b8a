package org.foxtailplank.entry.internal.flow;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailplank.entry.Answer;
import org.foxtailplank.entry.internal.backend.AttemptResult;
import org.foxtailplank.internal.dispatch.Attempt;
import org.foxtailplank.internal.routing.Target;
import org.foxtailplank.settings.Settings;

/** Messages to the {@link RequestDispatcher}. */
sealed interface Command {

    /** Asks whether a request would be refused. */
    record Check(Exchange exchange, CompletableFuture<Optional<Answer>> refusal)
            implements Command {}

    /** Queues a request. */
    record Queue(Exchange exchange) implements Command {}

    /** Reports the result of an attempt. */
    record Ended(Attempt<Exchange> attempt, AttemptResult result) implements Command {}

    /** Reports the result of a health probe. */
    record Probed(Target target, AttemptResult result) implements Command {}

    /** Applies a new configuration. */
    record Configure(Settings settings) implements Command {}

    /** Triggers periodic work. */
    enum Tick implements Command {
        TICK
    }

    /** Stops the dispatcher. */
    enum Stop implements Command {
        STOP
    }
}
