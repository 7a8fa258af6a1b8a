package org.foxtailplank.entry.internal.flow;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.foxtailplank.entry.Answer;
import org.foxtailplank.entry.CallerRequest;
import org.foxtailplank.internal.admission.Ticket;
import org.foxtailplank.internal.dispatch.PendingRequest;
import org.foxtailplank.internal.dispatch.RunRule;

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
        Ticket<Exchange> ticket =
                new Ticket<>(
                        this,
                        mRequest.requestClass(),
                        team(),
                        mRequest.deadline(),
                        mRequest.body().length + REQUEST_OVERHEAD_BYTES);
        return PendingRequest.of(ticket, rule());
    }

    private RunRule rule() {
        if (mRequest.repeatable()) {
            return RunRule.REPEATABLE;
        }
        return mRequest.key().isPresent() ? RunRule.ONCE_BY_KEY : RunRule.ONCE;
    }
}
