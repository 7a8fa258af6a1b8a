package org.foxtailplank.controller.internal.act;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

/** Delivers asynchronous results on the thread that runs a loop. */
public interface Mailbox {
    /** Calls the handler with the result of a stage; empty if the stage failed. */
    <T> void deliver(CompletionStage<T> stage, Consumer<Optional<T>> handler);
}
