package org.foxtailplank.entry.internal.flow;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.foxtailplank.entry.Answer;
import org.foxtailplank.entry.CallerRequest;
import org.foxtailplank.id.VmId;

/** One request on its way, from its arrival until its answer. */
final class Exchange {

    private final CallerRequest mRequest;
    private final CompletableFuture<Answer> mAnswer = new CompletableFuture<>();
    private final Set<VmId> mTried = new HashSet<>();
    private boolean mSent;

    Exchange(CallerRequest request) {
        mRequest = request;
    }

    CallerRequest request() {
        return mRequest;
    }

    /** Instances that were tried; a retry goes to another one. */
    Set<VmId> tried() {
        return mTried;
    }

    /** Whether a byte of it may have reached a backend server. */
    boolean sent() {
        return mSent;
    }

    void markSent() {
        mSent = true;
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
}
