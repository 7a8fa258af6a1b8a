package org.foxtailplank.entry;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/**
 * Sees to it that a request with an idempotency key runs at most once, at whichever entries it
 * arrives, and that whoever asks again gets the first answer where it is still known.
 */
public interface KeyedRequests {

    /**
     * Answers a request whose {@link CallerRequest#key} is present.
     *
     * <p>{@code attempt} queues the request, sends it to a backend server and completes with the
     * answer to pass on; it never completes exceptionally. It is called at most once, and only
     * where nobody else ran or may run the same key. When it completes with {@code not-run} the key
     * may be attempted anew. The returned stage must complete by the request's deadline, with
     * {@code not-run} only where the key certainly did not run; it may complete on any thread.
     */
    CompletionStage<Answer> answer(
            CallerRequest request, Supplier<CompletionStage<Answer>> attempt);

    /** Issues a key that needs no log; empty where keys are not protected. */
    default Optional<String> issueKey() {
        return Optional.empty();
    }
}
