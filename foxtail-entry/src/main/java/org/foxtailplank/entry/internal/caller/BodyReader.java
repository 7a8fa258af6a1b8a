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
import org.foxtailplank.entry.internal.flow.Answers;

/** Reads bodies whole, within bounds of size, time and memory. */
final class BodyReader {

    private static final int TOO_SLOW = 408;
    private static final int TOO_LARGE = 413;
    private static final Duration SOON = Duration.ofSeconds(1);
    private static final long MEMORY = 64L << 20;

    private final ClassicActorSystemProvider mSystem;
    private final BodyMemory mMemory = new BodyMemory(MEMORY);

    BodyReader(ClassicActorSystemProvider system) {
        mSystem = system;
    }

    /**
     * Reads a body and answers with it; the body's memory is taken until the answer is there. A
     * body that can't be read is answered at once and was certainly not run.
     */
    CompletionStage<Answer> with(
            HttpRequest http,
            Duration time,
            long maxBytes,
            Function<byte[], CompletionStage<Answer>> answer) {
        BodyMemory.Share share = mMemory.share();
        return http.entity()
                .withSizeLimit(maxBytes)
                .getDataBytes()
                .map(share::take)
                .completionTimeout(time)
                .runFold(ByteString.emptyByteString(), ByteString::concat, mSystem)
                .handle((body, e) -> e == null ? answer.apply(body.toArray()) : unread(e))
                .thenCompose(a -> a)
                .whenComplete((a, e) -> share.free());
    }

    private static CompletionStage<Answer> unread(Throwable e) {
        Throwable cause = e instanceof CompletionException ? e.getCause() : e;
        return CompletableFuture.completedFuture(refusal(cause));
    }

    private static Answer refusal(Throwable cause) {
        if (cause instanceof BodyMemory.FullException) {
            return Answers.full(SOON);
        }
        return cause instanceof EntityStreamSizeException
                ? Answers.bad(TOO_LARGE, "Not run: the body is larger than allowed.")
                : Answers.bad(TOO_SLOW, "Not run: the body did not come whole and in time.");
    }
}
