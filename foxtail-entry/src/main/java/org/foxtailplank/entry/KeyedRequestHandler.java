package org.foxtailplank.entry;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/**
 * Runs each request with an idempotency key at most once across all entries, and returns the first
 * answer to repeated requests while it is cached.
 */
public interface KeyedRequestHandler {

    /**
     * Answers a request whose {@link CallerRequest#key} is present.
     *
     * <p>{@code attempt} queues the request, sends it to a backend server and completes with the
     * answer to return; it never completes exceptionally. It is called at most once, and only if no
     * other request with the key has run or may run. If it completes with {@code not-run}, the key
     * may be attempted again. The returned stage must complete by the request's deadline, with
     * {@code not-run} only if the key certainly did not run; it may complete on any thread.
     */
    CompletionStage<Answer> answer(
            CallerRequest request, Supplier<CompletionStage<Answer>> attempt);

    /** Issues a key that needs no claim on the log; empty if keys are not protected. */
    default Optional<String> issueKey() {
        return Optional.empty();
    }
}
