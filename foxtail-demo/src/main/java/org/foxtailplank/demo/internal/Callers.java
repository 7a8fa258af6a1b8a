package org.foxtailplank.demo.internal;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import org.foxtailplank.load.internal.profile.Arrivals;
import org.foxtailplank.load.internal.profile.PlannedRequest;
import org.foxtailplank.load.internal.profile.Profile;
import org.foxtailplank.load.internal.result.StepResult;
import org.foxtailplank.load.internal.run.Ending;
import org.foxtailplank.load.internal.run.OpenLoop;
import org.foxtailplank.load.internal.run.Sender;

/** Sends callers' requests in the background and remembers how each one ended. */
public final class Callers {

    private final Map<String, Asked> mAsked = new ConcurrentHashMap<>();

    /**
     * A request and its ending.
     *
     * @param request what was asked
     * @param ending how it ended
     */
    public record Asked(PlannedRequest request, Ending ending) {}

    /** Starts to send; the result is done when all is answered. */
    public CompletableFuture<StepResult> start(
            Profile profile, Sender sender, double perSecond, Duration length, long seed) {
        List<PlannedRequest> plan = Arrivals.of(profile, new Random(seed)).plan(perSecond, length);
        Sender remembering = request -> remember(request, sender.send(request));
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return OpenLoop.over(remembering)
                                .run(perSecond / profile.capacityPerSecond(), plan, length);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                        throw new CompletionException(e);
                    }
                },
                task -> new Thread(task, "callers").start());
    }

    /** All requests by id. */
    public Map<String, Asked> asked() {
        return Map.copyOf(mAsked);
    }

    private CompletionStage<Ending> remember(PlannedRequest request, CompletionStage<Ending> sent) {
        return sent.thenApply(
                ending -> {
                    mAsked.put(request.id(), new Asked(request, ending));
                    return ending;
                });
    }
}
