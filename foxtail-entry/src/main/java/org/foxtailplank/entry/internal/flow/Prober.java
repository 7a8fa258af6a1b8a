package org.foxtailplank.entry.internal.flow;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.foxtailplank.entry.internal.backend.AttemptResult;
import org.foxtailplank.entry.internal.backend.ConnectionPool;
import org.foxtailplank.internal.routing.Health;
import org.foxtailplank.internal.routing.Target;

/**
 * Asks each instance how it is.
 *
 * <p>The platform's list lags, so an instance that leaves is known first by its own answer. A probe
 * takes one of the entry's connections to the instance, so that probes don't add to its share.
 */
final class Prober {

    /** Well under the 2 s after which a leaving instance must get nothing new. */
    private static final long INTERVAL = Duration.ofMillis(500).toNanos();

    private static final Duration TIMEOUT = Duration.ofMillis(400);
    private static final int MISSES_UNTIL_SILENT = 2;
    private static final int OK = 200;

    private final ObjectMapper mJson = new ObjectMapper();
    private final BiConsumer<Target, AttemptResult> mSeen;
    private final Map<Target, Probe> mProbes = new HashMap<>();

    Prober(BiConsumer<Target, AttemptResult> seen) {
        mSeen = seen;
    }

    /** Asks the instances whose turn it is. */
    void tick(Fleet fleet, long now) {
        mProbes.keySet().retainAll(fleet.router().targets());
        for (Target t : fleet.router().targets()) {
            Probe probe = mProbes.computeIfAbsent(t, key -> new Probe(now));
            boolean due = !probe.mUnderWay && now - probe.mNext >= 0;
            if (due && t.inFlight() >= t.limit()) {
                t.hold(true);
            } else if (due) {
                t.hold(false);
                ask(t, probe, fleet.pool(t), now);
            }
        }
    }

    /** Takes in what an instance answered. */
    void seen(Target target, AttemptResult result) {
        target.release();
        Probe probe = mProbes.get(target);
        if (probe == null) {
            return;
        }
        probe.mUnderWay = false;
        if (result instanceof AttemptResult.Answered a && a.status() == OK) {
            probe.mMisses = 0;
            read(target, a.body());
            return;
        }
        probe.mMisses++;
        boolean refused = result instanceof AttemptResult.NotSent n && n.refused();
        if (refused || probe.mMisses >= MISSES_UNTIL_SILENT) {
            target.saw(Health.SILENT);
        }
    }

    private void ask(Target t, Probe probe, ConnectionPool pool, long now) {
        probe.mUnderWay = true;
        probe.mNext = now + INTERVAL;
        t.begin();
        pool.send(HttpRequest.GET("/health"), TIMEOUT, false)
                .whenComplete((result, e) -> mSeen.accept(t, result));
    }

    private void read(Target target, byte[] body) {
        try {
            JsonNode json = mJson.readTree(body);
            boolean leaving = json.path("state").asText().equals("leaving");
            target.saw(leaving ? Health.LEAVING : Health.SERVING);
            if (json.path("slots").asInt() > 0) {
                target.heard(json.path("inFlight").asInt(), json.path("slots").asInt());
            }
        } catch (IOException e) {
            target.saw(Health.SILENT);
        }
    }

    /** The probes of one instance. */
    private static final class Probe {
        private long mNext;
        private int mMisses;
        private boolean mUnderWay;

        Probe(long next) {
            mNext = next;
        }
    }
}
