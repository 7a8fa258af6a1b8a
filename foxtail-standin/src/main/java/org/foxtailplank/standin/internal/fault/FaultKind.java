package org.foxtailplank.standin.internal.fault;

import com.fasterxml.jackson.annotation.JsonCreator;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.foxtailplank.standin.internal.http.Reply;
import org.foxtailplank.standin.internal.http.Request;

/** What goes wrong. */
public enum FaultKind {
    /** The call is carried out late. */
    DELAY {
        @Override
        CompletionStage<Reply> around(
                Fault fault, Request request, Supplier<CompletionStage<Reply>> call) {
            return Timers.after(fault.delayMs()).thenCompose(v -> call.get());
        }
    },
    /** Nothing is done, and the answer says so. */
    REFUSE {
        @Override
        CompletionStage<Reply> around(
                Fault fault, Request request, Supplier<CompletionStage<Reply>> call) {
            return CompletableFuture.completedFuture(fault.refusal());
        }
    },
    /** The call takes effect, and the connection breaks instead of an answer. */
    LOSE_ANSWER {
        @Override
        CompletionStage<Reply> around(
                Fault fault, Request request, Supplier<CompletionStage<Reply>> call) {
            return call.get()
                    .thenCompose(
                            r -> {
                                request.connection().cut();
                                return new CompletableFuture<>();
                            });
        }
    },
    /** Nothing is done and nothing is answered. */
    HANG {
        @Override
        CompletionStage<Reply> around(
                Fault fault, Request request, Supplier<CompletionStage<Reply>> call) {
            return new CompletableFuture<>();
        }
    },
    /** Half of the answer's body is sent. */
    TRUNCATE {
        @Override
        CompletionStage<Reply> around(
                Fault fault, Request request, Supplier<CompletionStage<Reply>> call) {
            return call.get().thenApply(Reply::truncated);
        }
    },
    /** Two answers on one connection change places. */
    SWAP {
        @Override
        CompletionStage<Reply> around(
                Fault fault, Request request, Supplier<CompletionStage<Reply>> call) {
            return call.get().thenCompose(request.connection()::swap);
        }
    },
    /** The connection is closed after the answer, without a word to the client. */
    CLOSE_IDLE {
        @Override
        CompletionStage<Reply> around(
                Fault fault, Request request, Supplier<CompletionStage<Reply>> call) {
            return call.get().thenApply(Reply::thenClosed);
        }
    },
    /**
     * The call fails at once: a VM fails, a worker fails what it starts, an instance answers 500.
     */
    FAIL {
        @Override
        CompletionStage<Reply> around(
                Fault fault, Request request, Supplier<CompletionStage<Reply>> call) {
            return CompletableFuture.completedFuture(Reply.error(500, "failed by a fault"));
        }
    },
    /** A failed VM is repaired and powered on. */
    RECOVER,
    /** The log loses its last records. */
    SHORTEN,
    /** The log loses its oldest records. */
    EXPIRE;

    CompletionStage<Reply> around(
            Fault fault, Request request, Supplier<CompletionStage<Reply>> call) {
        return call.get();
    }

    /** Reads a kind as written in a fault's document. */
    @JsonCreator
    public static FaultKind parse(String text) {
        return valueOf(text.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}
