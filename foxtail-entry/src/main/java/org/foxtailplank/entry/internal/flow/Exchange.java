package org.foxtailplank.entry.internal.flow;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.foxtailplank.entry.Answer;
import org.foxtailplank.entry.CallerRequest;
import org.foxtailplank.internal.admission.QueuedRequest;
import org.foxtailplank.internal.dispatch.PendingRequest;
import org.foxtailplank.internal.dispatch.RetrySafety;

/** A caller's request and its future answer. */
final class Exchange {

    private static final long REQUEST_OVERHEAD_BYTES = 2048;

    private final CallerRequest mRequest;
    private final CompletableFuture<Answer> mAnswer = new CompletableFuture<>();

    Exchange(CallerRequest request) {
        mRequest = request;
    }

    CallerRequest request() {
        return mRequest;
    }

    CompletionStage<Answer> answer() {
        return mAnswer;
    }

    void complete(Answer answer) {
        mAnswer.complete(answer);
    }

    String team() {
        return mRequest.team().map(Object::toString).orElse("");
    }

    PendingRequest<Exchange> pending() {
        QueuedRequest<Exchange> queued =
                new QueuedRequest<>(
                        this,
                        mRequest.requestClass(),
                        team(),
                        mRequest.deadline(),
                        mRequest.body().length + REQUEST_OVERHEAD_BYTES);
        return PendingRequest.of(queued, retrySafety());
    }

    private RetrySafety retrySafety() {
        if (mRequest.repeatable()) {
            return RetrySafety.IDEMPOTENT;
        }
        return mRequest.key().isPresent() ? RetrySafety.KEYED : RetrySafety.NON_IDEMPOTENT;
    }
}
