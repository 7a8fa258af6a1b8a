package org.foxtailplank.node.peer;

import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.port.CommandOutcome;
import org.foxtailplank.port.WorkerClient.StartCommand;
import org.foxtailplank.port.WorkerClient.WorkerAddress;

/** Hands starts to a node's {@link RelayedStartHandler} without a connection. */
public final class RelayedStarts {
    private RelayedStarts() {}

    /** Lets a node handle a start that an owner relays through it. */
    public static void handle(
            RelayedStartHandler handler,
            WorkerAddress worker,
            StartCommand command,
            Consumer<Optional<CommandOutcome>> callback) {
        handler.handle(new PeerFrame.RelayedStart(1, worker, command), callback);
    }
}
