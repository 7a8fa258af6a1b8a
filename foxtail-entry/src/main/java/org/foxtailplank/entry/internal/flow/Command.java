package org.foxtailplank.entry.internal.flow;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailplank.entry.Answer;
import org.foxtailplank.entry.internal.backend.AttemptResult;
import org.foxtailplank.internal.dispatch.Attempt;
import org.foxtailplank.internal.routing.Target;
import org.foxtailplank.settings.Settings;

/** What the broker is told. */
sealed interface Command {

    /** Whether a request would get its turn in time. */
    record Check(Exchange exchange, CompletableFuture<Optional<Answer>> refusal)
            implements Command {}

    /** A request may wait for its turn. */
    record Queue(Exchange exchange) implements Command {}

    /** An attempt ended. */
    record Ended(Attempt<Exchange> attempt, AttemptResult result) implements Command {}

    /** An instance answered, or did not answer, how it is. */
    record Probed(Target target, AttemptResult result) implements Command {}

    /** Another configuration is in force. */
    record Configure(Settings settings) implements Command {}

    /** Time has passed. */
    enum Tick implements Command {
        TICK
    }

    /** Nothing more will come. */
    enum Stop implements Command {
        STOP
    }
}
