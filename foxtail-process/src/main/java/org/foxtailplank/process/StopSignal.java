package org.foxtailplank.process;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;

/** Signals a stop request, such as SIGTERM or SIGINT, to a program. */
public final class StopSignal {
    private final CompletableFuture<Void> mRequested = new CompletableFuture<>();

    /** Blocks until a stop is requested. */
    public void await() throws InterruptedException {
        try {
            mRequested.get();
        } catch (ExecutionException e) {
            throw new IllegalStateException("unexpected failure of the stop request", e);
        }
    }

    /** Returns a stage that completes when a stop is requested. */
    public CompletionStage<Void> requested() {
        return mRequested.minimalCompletionStage();
    }

    /** Returns whether a stop is requested. */
    public boolean isRequested() {
        return mRequested.isDone();
    }

    /** Requests a stop. */
    public void request() {
        mRequested.complete(null);
    }
}
