package org.foxtailplank.soak;

import java.util.Map;
import java.util.Random;
import org.foxtailplank.http.HttpCall;
import org.foxtailplank.http.HttpClient;
import org.foxtailplank.http.HttpResult;

/** Requests whose answers show by which configuration a node handled them. */
final class RouteProbe {
    private static final long DEADLINE_MS = 3000;

    /** Sets the draw of requests apart from that of jobs. */
    private static final long SEED = 0x70b3;

    private final SoakSystem mSystem;
    private final SoakHistory mHistory;
    private final HttpClient mClient;
    private final Random mRandom;

    RouteProbe(SoakSystem system, SoakHistory history, HttpClient client, long seed) {
        mSystem = system;
        mHistory = history;
        mClient = client;
        mRandom = new Random(seed ^ SEED);
    }

    /** Sends a request for one of the routes to one of the nodes. */
    void send() {
        int number = mRandom.nextInt(mSystem.nodes().size());
        SoakNode node = mSystem.nodes().get(number);
        String route = mSystem.routes().any(mRandom);
        Map<String, String> headers =
                Map.of("Host", SoakSystem.HOST, "Deadline-Ms", Long.toString(DEADLINE_MS));
        int boot = node.boots();
        long sentMs = mHistory.nowMs();
        mClient.call(
                node.callers(),
                HttpCall.get('/' + route + '/').with(headers),
                DEADLINE_MS,
                result -> {
                    // An answer of another life of the process shows nothing of this one.
                    if (result instanceof HttpResult.Answered a && node.boots() == boot) {
                        mHistory.add(
                                t ->
                                        new SoakEvent.RouteAnswered(
                                                t, route, sentMs, number, boot, a.status()));
                    }
                });
    }
}
