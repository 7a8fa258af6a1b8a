package org.foxtailplank.load.internal.http;

import com.typesafe.config.ConfigFactory;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.javadsl.settings.ConnectionPoolSettings;
import org.foxtailplank.load.internal.profile.PlannedRequest;
import org.foxtailplank.load.internal.profile.Traffic;
import org.foxtailplank.load.internal.run.Ending;
import org.foxtailplank.load.internal.run.Sender;
import org.foxtailplank.process.Log;
import org.foxtailplank.request.Outcome;
import org.foxtailplank.request.RequestClass;

/** Sends requests to entries in turn, as the platform's balancer would, or to backend servers. */
public final class HttpSender implements Sender {

    private static final Log LOG = Log.of("load");

    /** Below the connections that an entry lets one caller address hold, 256 in the examples. */
    private static final int CONNECTIONS = 200;

    private static final int WAITING = 16384;
    private static final Duration PATIENCE = Duration.ofSeconds(20);

    private final ActorSystem<?> mSystem;
    private final List<String> mTargets;
    private final boolean mDirect;
    private final ConnectionPoolSettings mPool;
    private final AtomicInteger mNext = new AtomicInteger();

    private HttpSender(ActorSystem<?> system, List<String> targets, boolean direct) {
        mSystem = system;
        mTargets = List.copyOf(targets);
        mDirect = direct;
        // Never retried here: a retry of the tool's own would look like a double run of the system.
        mPool =
                ConnectionPoolSettings.create(ConfigFactory.load())
                        .withMaxConnections(CONNECTIONS)
                        .withMaxOpenRequests(WAITING)
                        .withMaxRetries(0);
    }

    /** Sends through entries, each given as {@code http://address:port}. */
    public static HttpSender throughEntries(ActorSystem<?> system, List<String> entries) {
        return new HttpSender(system, entries, false);
    }

    /** Sends straight to backend servers, as the baseline of what the entries add. */
    public static HttpSender straightToBackendServers(
            ActorSystem<?> system, List<String> backendServers) {
        return new HttpSender(system, backendServers, true);
    }

    @Override
    public CompletionStage<Ending> send(PlannedRequest request) {
        String body = Payload.of(request.id(), request.traffic().bodyBytes());
        return Http.get(mSystem)
                .singleRequest(
                        httpRequest(request, body),
                        Http.get(mSystem).defaultClientHttpsContext(),
                        mPool,
                        mSystem.classicSystem().log())
                .thenCompose(response -> ending(response, body))
                .exceptionally(e -> broken(request, e));
    }

    private static Ending broken(PlannedRequest request, Throwable e) {
        LOG.with("request", request.id()).error("A request got no answer: {0}", e);
        return Ending.ERROR;
    }

    private HttpRequest httpRequest(PlannedRequest request, String body) {
        Traffic traffic = request.traffic();
        String target = mTargets.get(Math.floorMod(mNext.getAndIncrement(), mTargets.size()));
        // The id is in the path, so that a backend server's record of what it ran can be matched.
        String path = (mDirect ? "/load/" : "/s/" + traffic.service() + "/load/") + request.id();
        HttpRequest http =
                HttpRequest.POST(target + path)
                        .withEntity(ContentTypes.TEXT_PLAIN_UTF8, body)
                        .addHeader(RawHeader.create(RequestClass.HEADER, traffic.requestClass()))
                        .addHeader(RawHeader.create("Foxtail-Team", traffic.team()))
                        .addHeader(
                                RawHeader.create("Foxtail-Deadline", traffic.deadlineMs() + "ms"))
                        .addHeader(
                                RawHeader.create(
                                        "Foxtail-Repeatable", traffic.repeatable() ? "yes" : "no"));
        return traffic.keyed()
                ? http.addHeader(RawHeader.create("Idempotency-Key", request.id()))
                : http;
    }

    private CompletionStage<Ending> ending(HttpResponse response, String sent) {
        return response.entity()
                .toStrict(PATIENCE.toMillis(), mSystem)
                .thenApply(entity -> classify(response, sent, entity.getData().utf8String()));
    }

    private Ending classify(HttpResponse response, String sent, String answer) {
        boolean whole = Payload.isEchoed(sent, answer);
        if (mDirect) {
            return response.status().isSuccess() && whole ? Ending.OK : Ending.ERROR;
        }
        Outcome outcome =
                response.getHeader(Outcome.HEADER)
                        .flatMap(h -> Outcome.parse(h.value()))
                        .orElse(Outcome.UNKNOWN);
        return switch (outcome) {
            case OK -> whole ? Ending.OK : Ending.WRONG;
            case NOT_RUN -> Ending.NOT_RUN;
            case UNKNOWN -> Ending.UNKNOWN;
        };
    }
}
