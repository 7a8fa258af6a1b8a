package org.foxtailplank.node.caller;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.foxtailplank.http.HttpReply;
import org.foxtailplank.http.HttpRequest;
import org.foxtailplank.lease.ClockReading;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.OperatorFollower;
import org.foxtailplank.node.Timers;
import org.foxtailplank.node.caller.ConfigWaits.Progress;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.log.LogLine;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.organisation.KeyFingerprint;
import org.foxtailplank.organisation.KeyLifetime;
import org.foxtailplank.organisation.Organisation;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.RouteSettings;

/**
 * Determines the queue and the organisation of a request by the configuration.
 *
 * <p>A queue or key that the node's configuration lacks may have just been added, so the newest
 * configuration is read before the request is rejected. A key that it contains may have been
 * revoked, so keys are only accepted while the configuration is known to be recent.
 */
final class RequestRouter {
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int SERVICE_UNAVAILABLE = 503;

    /** Value of the Retry-After header of a node that can't serve now, in seconds. */
    private static final String RETRY_AFTER_S = "1";

    /**
     * Requests routed by a configuration that was last confirmed longer ago are logged, in
     * milliseconds; more than the wait of a long poll.
     */
    private static final long OLD_CONFIG_MS = 2000;

    /** Requests that are decided this long after their arrival are logged, in milliseconds. */
    private static final long SLOW_DECISION_MS = 20;

    /** How long a request waits for a read that it caused, in milliseconds. */
    private static final long MAX_READ_WAIT_MS = 500;

    /** How long a request waits for what the long poll should deliver soon, in milliseconds. */
    private static final long MAX_POLL_WAIT_MS = 150;

    /** Time after which the long poll's connection may have failed silently, in milliseconds. */
    private static final long POLL_GRACE_MS = 50;

    private final OperatorFollower mOperator;
    private final JournalReader mReader;
    private final KeyLifetime mKeyLifetime;
    private final String mKeyHeader;
    private final Clock mClock;
    private final NodeLog mLog;
    private final ConfigWaits mWaits;
    private final DecisionOrder mOrder = new DecisionOrder();

    /** Receives a routed request, or the reply to a rejected one. */
    interface Callback {
        void routed(RoutedRequest request);

        void rejected(HttpReply reply);
    }

    private enum Finding {
        ROUTED(0, 0, 0),
        NO_QUEUE(NOT_FOUND, MAX_READ_WAIT_MS, 0),
        UNKNOWN_KEY(UNAUTHORIZED, MAX_READ_WAIT_MS, 0),
        /** The key is known, but may have been revoked. */
        UNCONFIRMED_KEY(SERVICE_UNAVAILABLE, MAX_POLL_WAIT_MS, POLL_GRACE_MS),
        /** The node has a job of a newer configuration. */
        CONFIG_BEHIND(SERVICE_UNAVAILABLE, MAX_POLL_WAIT_MS, POLL_GRACE_MS);

        private final int mStatus;

        /** How long a request waits for another finding, in milliseconds. */
        private final long mMaxWaitMs;

        /** Time after which the changes are read for a request that waits, in milliseconds. */
        private final long mReadDelayMs;

        Finding(int status, long maxWaitMs, long readDelayMs) {
            mStatus = status;
            mMaxWaitMs = maxWaitMs;
            mReadDelayMs = readDelayMs;
        }

        boolean isUnavailable() {
            return mStatus == SERVICE_UNAVAILABLE;
        }
    }

    /**
     * A request as it was when it arrived.
     *
     * @param at when it arrived
     * @param version version of the configuration
     * @param finding what that configuration says of it
     * @param readsSent number of reads of the changes that were sent before
     */
    private record Arrival(
            HttpRequest request, ClockReading at, long version, Finding finding, long readsSent) {}

    private record Result(Finding finding, Optional<RoutedRequest> request) {
        static Result rejected(Finding finding) {
            return new Result(finding, Optional.empty());
        }
    }

    /**
     * Creates a router.
     *
     * @param keyHeader name of the header with the caller's API key
     */
    RequestRouter(
            OperatorFollower operator,
            JournalReader reader,
            KeyLifetime keyLifetime,
            String keyHeader,
            Clock clock,
            Timers timers,
            NodeLog log) {
        mOperator = operator;
        mReader = reader;
        mKeyLifetime = keyLifetime;
        mKeyHeader = keyHeader;
        mClock = clock;
        mLog = log;
        mWaits = new ConfigWaits(operator, clock, timers);
    }

    /**
     * Routes a request. A node that has jobs of a newer configuration than its own may have started
     * them, or confirmed them to callers. Routing by its own would make that change disappear
     * again, so it rejects requests until it has the newer one.
     */
    void route(HttpRequest request, Callback callback) {
        if (mOperator.config().isEmpty()) {
            callback.rejected(unavailableReply());
            return;
        }
        Result result = find(request);
        Arrival arrival =
                new Arrival(
                        request,
                        mClock.moment(),
                        mOperator.version(),
                        result.finding(),
                        mOperator.readsSent());
        if (result.finding() == Finding.ROUTED) {
            accept(arrival, result, callback);
            return;
        }
        mWaits.await(
                () -> progress(find(request).finding(), arrival.readsSent()),
                result.finding().mMaxWaitMs,
                result.finding().mReadDelayMs,
                () -> decide(arrival, callback));
    }

    private Progress progress(Finding finding, long readsSent) {
        return switch (finding) {
            case ROUTED -> Progress.DONE;
            case CONFIG_BEHIND -> Progress.PENDING;
            case UNCONFIRMED_KEY -> failedIf(mOperator.hasFailedAtAge(mKeyLifetime.maxAgeMs()));
            case NO_QUEUE, UNKNOWN_KEY ->
                    mOperator.isConfirmedSince(readsSent)
                            ? Progress.DONE
                            : failedIf(mOperator.hasFailedSince(readsSent));
        };
    }

    private static Progress failedIf(boolean failed) {
        return failed ? Progress.FAILED : Progress.PENDING;
    }

    /** Decides a request that has waited. */
    private void decide(Arrival arrival, Callback callback) {
        Result result = find(arrival.request());
        logDelay(arrival, result.finding());
        boolean certain = mOperator.isConfirmedSince(arrival.readsSent());
        boolean routed = result.finding() == Finding.ROUTED;
        boolean inOrder =
                result.finding() == arrival.finding()
                        || mOrder.permits(arrival.at(), mOperator.version());
        if (routed && inOrder) {
            accept(arrival, result, callback);
            return;
        }
        logRequest("not-routed", arrival.request())
                .with("why", result.finding())
                .with("configRead", certain)
                .with("inOrder", inOrder)
                .with("newest", mReader.registry().configVersion())
                .write();
        if (routed || !certain || !inOrder || result.finding().isUnavailable()) {
            callback.rejected(unavailableReply());
        } else {
            mOrder.recordDecision(arrival.at(), mOperator.version());
            callback.rejected(HttpReply.empty(result.finding().mStatus));
        }
    }

    private void logDelay(Arrival arrival, Finding finding) {
        long delayMs = mClock.moment().elapsedSince(arrival.at());
        if (delayMs >= SLOW_DECISION_MS) {
            logRequest("decided-late", arrival.request())
                    .with("finding", finding)
                    .with("arrivalVersion", arrival.version())
                    .with("delayMs", delayMs)
                    .write();
        }
    }

    private Result find(HttpRequest request) {
        if (mOperator.version() < mReader.registry().configVersion()) {
            return Result.rejected(Finding.CONFIG_BEHIND);
        }
        FleetConfig config = mOperator.config().orElseThrow();
        Optional<RouteSettings> route = config.route(request.host(), request.path());
        if (route.isEmpty()) {
            return Result.rejected(Finding.NO_QUEUE);
        }
        if (!route.get().requiresKey()) {
            return routed(route.get(), Organisation.NONE);
        }
        Optional<Organisation> organisation =
                request.headers().get(mKeyHeader).flatMap(config.organisations()::byKey);
        if (organisation.isEmpty()) {
            return Result.rejected(Finding.UNKNOWN_KEY);
        }
        return mOperator.confirmedAgeMs() <= mKeyLifetime.maxAgeMs()
                ? routed(route.get(), organisation.get().name())
                : Result.rejected(Finding.UNCONFIRMED_KEY);
    }

    private static Result routed(RouteSettings route, String organisation) {
        return new Result(Finding.ROUTED, Optional.of(new RoutedRequest(route, organisation)));
    }

    private void accept(Arrival arrival, Result result, Callback callback) {
        if (mOperator.confirmedAgeMs() >= OLD_CONFIG_MS) {
            logRequest("config-old", arrival.request()).write();
        }
        mOrder.recordDecision(arrival.at(), mOperator.version());
        callback.routed(result.request().orElseThrow());
    }

    private LogLine logRequest(String kind, HttpRequest request) {
        String key = request.headers().get(mKeyHeader).map(KeyFingerprint::of).orElse("none");
        return mLog.line(kind)
                .with("method", request.method())
                .with("path", request.path())
                .with("key", key)
                .with("version", mOperator.version())
                .with("configAgeMs", mOperator.confirmedAgeMs());
    }

    static HttpReply unavailableReply() {
        return HttpReply.empty(SERVICE_UNAVAILABLE).with(Map.of("Retry-After", RETRY_AFTER_S));
    }

    /** The same, for a request that can't be served before a time is over, in milliseconds. */
    static HttpReply unavailableReply(long forMs) {
        long seconds = TimeUnit.MILLISECONDS.toSeconds(forMs) + 1;
        return HttpReply.empty(SERVICE_UNAVAILABLE)
                .with(Map.of("Retry-After", Long.toString(seconds)));
    }
}
