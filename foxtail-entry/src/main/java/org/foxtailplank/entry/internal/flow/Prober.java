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
 * Sends health probes to each instance.
 *
 * <p>Since the platform's list lags, a leaving instance is detected first by its health answer. A
 * probe uses one of the entry's connections to the instance and so counts towards its share.
 */
final class Prober {

    /** Detects a leaving instance within the 2 s after which it must get no new requests. */
    private static final long INTERVAL = Duration.ofMillis(500).toNanos();

    private static final Duration TIMEOUT = Duration.ofMillis(400);
    private static final int MAX_MISSES = 2;
    private static final int OK = 200;

    private final ObjectMapper mJson = new ObjectMapper();
    private final BiConsumer<Target, AttemptResult> mOnResult;
    private final Map<Target, Probe> mProbes = new HashMap<>();

    Prober(BiConsumer<Target, AttemptResult> onResult) {
        mOnResult = onResult;
    }

    /** Probes the instances that are due. */
    void tick(InstancePools pools, long now) {
        mProbes.keySet().retainAll(pools.router().targets());
        for (Target target : pools.router().targets()) {
            Probe probe = mProbes.computeIfAbsent(target, key -> new Probe(now));
            boolean due = !probe.mInFlight && now - probe.mNext >= 0;
            if (due && target.inFlight() >= target.limit()) {
                target.reserveForProbe(true);
            } else if (due) {
                target.reserveForProbe(false);
                sendProbe(target, probe, pools.pool(target), now);
            }
        }
    }

    /** Handles the result of a probe. */
    void probeCompleted(Target target, AttemptResult result) {
        target.attemptAbandoned();
        Probe probe = mProbes.get(target);
        if (probe == null) {
            return;
        }
        probe.mInFlight = false;
        if (result instanceof AttemptResult.Answered a && a.status() == OK) {
            probe.mMisses = 0;
            applyHealth(target, a.body());
            return;
        }
        probe.mMisses++;
        boolean refused = result instanceof AttemptResult.NotSent n && n.refused();
        if (refused || probe.mMisses >= MAX_MISSES) {
            target.updateHealth(Health.SILENT);
        }
    }

    private void sendProbe(Target target, Probe probe, ConnectionPool pool, long now) {
        probe.mInFlight = true;
        probe.mNext = now + INTERVAL;
        target.attemptStarted();
        pool.send(HttpRequest.GET("/health"), TIMEOUT, false)
                .whenComplete((result, e) -> mOnResult.accept(target, result));
    }

    private void applyHealth(Target target, byte[] body) {
        try {
            JsonNode json = mJson.readTree(body);
            boolean leaving = json.path("state").asText().equals("leaving");
            target.updateHealth(leaving ? Health.LEAVING : Health.SERVING);
            if (json.path("slots").asInt() > 0) {
                target.updateLoad(json.path("inFlight").asInt(), json.path("slots").asInt());
            }
        } catch (IOException e) {
            target.updateHealth(Health.SILENT);
        }
    }

    /** Probe state of one instance. */
    private static final class Probe {
        private long mNext;
        private int mMisses;
        private boolean mInFlight;

        Probe(long next) {
            mNext = next;
        }
    }
}
