package org.foxtailplank.process;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;

/** Tells a program that it is asked to stop, by SIGTERM or SIGINT. */
public final class StopSignal {
    private final CompletableFuture<Void> mRequested = new CompletableFuture<>();

    /** Waits until the program is asked to stop. */
    public void await() throws InterruptedException {
        try {
            mRequested.get();
        } catch (ExecutionException e) {
            throw new IllegalStateException("a stop was asked for with an error", e);
        }
    }

    /** Done when the program is asked to stop. */
    public CompletionStage<Void> requested() {
        return mRequested.minimalCompletionStage();
    }

    /** Whether the program is asked to stop. */
    public boolean isRequested() {
        return mRequested.isDone();
    }

    /** Asks the program to stop. */
    public void request() {
        mRequested.complete(null);
    }
}
