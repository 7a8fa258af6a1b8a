package org.foxtailplank.internal.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.internal.admission.Admission;
import org.foxtailplank.internal.admission.AdmissionQueue;
import org.foxtailplank.internal.admission.QueuedRequest;
import org.foxtailplank.internal.retry.RetryBudget;
import org.foxtailplank.internal.routing.AttemptOutcome;
import org.foxtailplank.internal.routing.Router;
import org.foxtailplank.internal.routing.Target;

/**
 * Queues the requests of one service at one entry, routes them to instances and retries them.
 *
 * <p>Not thread-safe. Times are nanoseconds of one monotonic clock.
 *
 * @param <T> type that represents a request
 */
public final class ServiceDispatcher<T> {

    private static final double LATENCY_WEIGHT = 0.05;
    private static final double DEVIATIONS = 3;
    private static final long STALE_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long MAX_WAITING_BYTES = 32L << 20;
    private static final int MAX_ATTEMPTS = 3;

    /** Minimum remaining time, in mean latencies, to reserve time for a retry. */
    private static final int MIN_LATENCIES_TO_SPLIT = 4;

    private final ServiceId mService;
    private final Router mRouter;
    private final AdmissionQueue<PendingRequest<T>> mQueue;
    private final RetryBudget mRetries;
    private double mMeanLatency;
    private double mLatencyDeviation;
    private long mLastSampleAt;

    /**
     * Creates a dispatcher without requests.
     *
     * @param service the service
     * @param router router for its instances
     * @param quotas quota by team
     * @param retryRatio fraction of a retry that each first attempt adds to the retry budget
     */
    public ServiceDispatcher(
            ServiceId service, Router router, ToDoubleFunction<String> quotas, double retryRatio) {
        mService = service;
        mRouter = router;
        mQueue = new AdmissionQueue<>(quotas, MAX_WAITING_BYTES);
        mRetries = new RetryBudget(retryRatio);
    }

    /** Returns whether any listed instance isn't draining. */
    public boolean hasServingInstance() {
        return mRouter.hasServingInstance(mService);
    }

    /** Returns the mean latency of successful attempts. */
    public long meanLatency() {
        return (long) mMeanLatency;
    }

    /**
     * Returns an upper bound for the latency of most successful attempts. A request with less time
     * remaining would occupy a slot and probably miss its deadline.
     */
    private long requiredTime(long now) {
        return (long) ((mMeanLatency + DEVIATIONS * mLatencyDeviation) * confidence(now));
    }

    /**
     * Returns the weight of past latencies, which halves with each second without a successful
     * attempt, after the first one.
     *
     * <p>Without this decay, latencies above all deadlines would cause every request to be rejected
     * forever, because no attempt would be made to measure a lower latency.
     */
    private double confidence(long now) {
        long stale = now - mLastSampleAt - STALE_NANOS;
        return stale <= 0 ? 1 : Math.pow(0.5, (double) stale / STALE_NANOS);
    }

    private void recordLatency(long latency, long now) {
        double weight = confidence(now);
        mMeanLatency *= weight;
        mLatencyDeviation *= weight;
        mLastSampleAt = now;
        boolean first = mMeanLatency == 0;
        mLatencyDeviation +=
                (Math.abs(latency - mMeanLatency) - mLatencyDeviation)
                        * (first ? 0 : LATENCY_WEIGHT);
        mMeanLatency += (latency - mMeanLatency) * (first ? 1 : LATENCY_WEIGHT);
    }

    /** Returns the number of queued requests. */
    public int queueSize() {
        return mQueue.size();
    }

    /** Checks whether a request can be served before its deadline. */
    public Admission checkAdmission(PendingRequest<T> request, long now) {
        return mQueue.check(toQueued(request), requiredTime(now), now);
    }

    /** Adds a request to the queue. */
    public void enqueue(PendingRequest<T> request) {
        mQueue.add(toQueued(request));
    }

    /** Starts the next attempt if a request is queued and an instance is available. */
    public Optional<Attempt<T>> nextAttempt(long now) {
        if (mQueue.size() == 0) {
            return Optional.empty();
        }
        Optional<Target> target = mRouter.choose(mService, Set.of());
        if (target.isEmpty()) {
            mQueue.backlogStarted(now);
            return Optional.empty();
        }
        return mQueue.take(now)
                .map(
                        queued -> {
                            mRetries.deposit();
                            return startAttempt(queued.request(), target.get(), now);
                        });
    }

    /** Records the outcome of an attempt, and starts a retry if it is allowed. */
    public Optional<Attempt<T>> attemptEnded(Attempt<T> attempt, AttemptOutcome outcome, long now) {
        long latency = now - attempt.started();
        attempt.target().attemptEnded(outcome, latency, now);
        if (outcome == AttemptOutcome.SUCCESS) {
            recordLatency(latency, now);
        }
        PendingRequest<T> r = attempt.request();
        boolean canRetry = r.attempts() < MAX_ATTEMPTS && r.remainingTime(now) > requiredTime(now);
        if (!canRetry || !r.retrySafety().allowsRetryAfter(outcome)) {
            return Optional.empty();
        }
        Optional<Target> target = mRouter.choose(mService, r.triedInstances());
        if (target.isEmpty() && outcome.nothingSent()) {
            target = mRouter.choose(mService, Set.of());
        }
        // Unsent attempts add no load, so that their retries don't consume the budget.
        if (target.isEmpty() || !outcome.nothingSent() && !mRetries.tryWithdraw()) {
            return Optional.empty();
        }
        return Optional.of(startAttempt(r, target.get(), now));
    }

    /** Removes and returns requests that can no longer meet their deadline. */
    public List<T> removeExpired(long now) {
        return mQueue.removeExpired(requiredTime(now), now).stream()
                .map(queued -> queued.request().item())
                .toList();
    }

    private Attempt<T> startAttempt(PendingRequest<T> r, Target target, long now) {
        r.recordAttempt(target.server().vm());
        target.attemptStarted();
        return new Attempt<>(r, target, now, timeout(r, now));
    }

    /** Reserves half of the remaining time for a retry of an idempotent request. */
    private long timeout(PendingRequest<T> r, long now) {
        long remaining = Math.max(0, r.remainingTime(now));
        boolean reservesRetry =
                r.retrySafety() == RetrySafety.IDEMPOTENT
                        && r.attempts() < MAX_ATTEMPTS
                        && remaining > MIN_LATENCIES_TO_SPLIT * meanLatency();
        return reservesRetry ? remaining / 2 : remaining;
    }

    private static <T> QueuedRequest<PendingRequest<T>> toQueued(PendingRequest<T> r) {
        QueuedRequest<T> q = r.queuedRequest();
        return new QueuedRequest<>(r, q.requestClass(), q.team(), q.deadline(), q.bytes());
    }
}
