package org.foxtailplank.entry.internal.caller;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.scaladsl.model.EntityStreamSizeException;
import org.apache.pekko.util.ByteString;
import org.foxtailplank.entry.Answer;
import org.foxtailplank.entry.internal.flow.EntryAnswers;

/** Reads complete request bodies, within limits of size, time and memory. */
final class BodyReader {

    private static final int REQUEST_TIMEOUT = 408;
    private static final int PAYLOAD_TOO_LARGE = 413;
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
    private static final long MAX_BUFFERED_BYTES = 64L << 20;

    private final ClassicActorSystemProvider mSystem;
    private final BodyMemoryBudget mMemory = new BodyMemoryBudget(MAX_BUFFERED_BYTES);

    BodyReader(ClassicActorSystemProvider system) {
        mSystem = system;
    }

    /**
     * Reads a body and passes it to {@code answer}; its memory stays reserved until the answer is
     * complete. If the body can't be read, the request is refused without being run.
     */
    CompletionStage<Answer> readAndAnswer(
            HttpRequest http,
            Duration time,
            long maxBytes,
            Function<byte[], CompletionStage<Answer>> answer) {
        BodyMemoryBudget.Reservation reservation = mMemory.newReservation();
        return http.entity()
                .withSizeLimit(maxBytes)
                .getDataBytes()
                .map(reservation::take)
                .completionTimeout(time)
                .runFold(ByteString.emptyByteString(), ByteString::concat, mSystem)
                .handle((body, e) -> e == null ? answer.apply(body.toArray()) : refused(e))
                .thenCompose(a -> a)
                .whenComplete((a, e) -> reservation.release());
    }

    private static CompletionStage<Answer> refused(Throwable e) {
        Throwable cause = e instanceof CompletionException ? e.getCause() : e;
        return CompletableFuture.completedFuture(refusal(cause));
    }

    private static Answer refusal(Throwable cause) {
        if (cause instanceof BodyMemoryBudget.MemoryExhaustedException) {
            return EntryAnswers.queueFull(RETRY_DELAY);
        }
        return cause instanceof EntityStreamSizeException
                ? EntryAnswers.rejected(
                        PAYLOAD_TOO_LARGE, "Not run: the body is larger than allowed.")
                : EntryAnswers.rejected(
                        REQUEST_TIMEOUT, "Not run: the body did not come whole and in time.");
    }
}
