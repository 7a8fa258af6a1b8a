package org.foxtailplank.node.peer;

import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.port.CommandOutcome;
import org.foxtailplank.port.WorkerClient.StartCommand;
import org.foxtailplank.port.WorkerClient.WorkerAddress;

/**
 * Sends start commands through other nodes, which have the jobs' texts in their replicas.
 *
 * <p>A relayed start takes a tenth of the bytes of a direct one on the owner's link. To the worker
 * it is like a direct one that was delayed: it carries the owner's fencing token and a lease that
 * was computed when the owner sent it.
 */
public interface StartRelay {
    /** A relay without other nodes. */
    StartRelay NONE =
            new StartRelay() {
                @Override
                public boolean isAvailable() {
                    return false;
                }

                @Override
                public void start(
                        WorkerAddress worker,
                        StartCommand command,
                        Consumer<Optional<CommandOutcome>> callback) {
                    callback.accept(Optional.empty());
                }
            };

    /** Whether a connected node can relay starts. */
    boolean isAvailable();

    /**
     * Relays a start.
     *
     * @param command the command; its text isn't sent
     * @param callback receives the worker's answer, or empty if the command was not sent to it
     */
    void start(
            WorkerAddress worker,
            StartCommand command,
            Consumer<Optional<CommandOutcome>> callback);
}
