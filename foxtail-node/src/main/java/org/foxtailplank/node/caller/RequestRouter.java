package org.foxtailplank.node.caller;

import java.util.Map;
import java.util.Optional;
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

        HttpReply reply() {
            return mStatus == SERVICE_UNAVAILABLE ? unavailableReply() : HttpReply.empty(mStatus);
        }
    }

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
        if (result.finding() == Finding.ROUTED) {
            accept(request, result, callback);
            return;
        }
        long readsSent = mOperator.readsSent();
        Callback logged = loggingDelay(request, callback);
        mWaits.await(
                () -> progress(find(request).finding(), readsSent),
                result.finding().mMaxWaitMs,
                result.finding().mReadDelayMs,
                () -> decide(request, readsSent, logged));
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

    /** Returns a callback that logs requests that were decided a while after their arrival. */
    private Callback loggingDelay(HttpRequest request, Callback callback) {
        ClockReading arrivedAt = mClock.moment();
        long arrivalVersion = mOperator.version();
        return new Callback() {
            @Override
            public void routed(RoutedRequest routed) {
                logDelay("routed");
                callback.routed(routed);
            }

            @Override
            public void rejected(HttpReply reply) {
                logDelay(String.valueOf(reply.status()));
                callback.rejected(reply);
            }

            private void logDelay(String outcome) {
                long delayMs = mClock.moment().elapsedSince(arrivedAt);
                if (delayMs >= SLOW_DECISION_MS) {
                    logRequest("decided-late", request)
                            .with("outcome", outcome)
                            .with("arrivalVersion", arrivalVersion)
                            .with("delayMs", delayMs)
                            .write();
                }
            }
        };
    }

    /**
     * Decides a request that has waited.
     *
     * @param readsSent number of reads sent before it arrived, which prove nothing
     */
    private void decide(HttpRequest request, long readsSent, Callback callback) {
        Result result = find(request);
        if (result.finding() == Finding.ROUTED) {
            accept(request, result, callback);
            return;
        }
        boolean certain = mOperator.isConfirmedSince(readsSent);
        logRequest("not-routed", request)
                .with("why", result.finding())
                .with("configRead", certain)
                .with("newest", mReader.registry().configVersion())
                .write();
        callback.rejected(certain ? result.finding().reply() : unavailableReply());
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

    private void accept(HttpRequest request, Result result, Callback callback) {
        if (mOperator.confirmedAgeMs() >= OLD_CONFIG_MS) {
            logRequest("config-old", request).write();
        }
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
}
