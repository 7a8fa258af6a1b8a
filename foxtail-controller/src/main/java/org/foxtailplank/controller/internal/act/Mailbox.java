package org.foxtailplank.controller.internal.act;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

/** Brings results back to the one thread at a time that a loop runs on. */
public interface Mailbox {
    /** Hands over a result, or nothing when the stage failed. */
    <T> void deliver(CompletionStage<T> stage, Consumer<Optional<T>> handler);
}
