package org.foxtailplank.internal.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.internal.admission.Admission;
import org.foxtailplank.internal.admission.AdmissionQueue;
import org.foxtailplank.internal.admission.Ticket;
import org.foxtailplank.internal.retry.RetryBudget;
import org.foxtailplank.internal.routing.AttemptEnd;
import org.foxtailplank.internal.routing.Router;
import org.foxtailplank.internal.routing.Target;

/**
 * The requests of one service at one entry.
 *
 * <p>Not safe for use by several threads. Times are nanoseconds of one clock.
 *
 * @param <T> what stands for a request
 */
public final class Lane<T> {

    private static final double TIME_WEIGHT = 0.05;
    private static final double DEVIATIONS = 3;
    private static final long STALE_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long MAX_WAITING_BYTES = 32L << 20;
    private static final int MAX_ATTEMPTS = 3;

    /** An attempt is cut short for a retry only where so many usual times are left. */
    private static final int TIMES_WORTH_SPLITTING = 4;

    private final ServiceId mService;
    private final Router mRouter;
    private final AdmissionQueue<PendingRequest<T>> mQueue;
    private final RetryBudget mRetries;
    private double mUsualTime;
    private double mDeviation;
    private long mLearnedAt;

    /**
     * Starts empty.
     *
     * @param service the service
     * @param router chooses its instances
     * @param quotas quota of each team
     * @param retryRatio retries that each first attempt earns
     */
    public Lane(
            ServiceId service, Router router, ToDoubleFunction<String> quotas, double retryRatio) {
        mService = service;
        mRouter = router;
        mQueue = new AdmissionQueue<>(quotas, MAX_WAITING_BYTES);
        mRetries = new RetryBudget(retryRatio);
    }

    /** Whether any instance is listed and serving. */
    public boolean serves() {
        return mRouter.serves(mService);
    }

    /** Usual time of a good attempt. */
    public long usualTime() {
        return (long) mUsualTime;
    }

    /**
     * Time in which nearly all good attempts end. A request that is sent with less time left would
     * take a slot and be thrown away, which under overload costs the others their turn.
     */
    private long neededTime(long now) {
        return (long) ((mUsualTime + DEVIATIONS * mDeviation) * trust(now));
    }

    /**
     * How far what was learned still counts: all of it for a second, then half as much with each
     * further second without a good attempt.
     *
     * <p>Guards against a lane that refuses for ever: after a slow start or a pause the usual time
     * lies above every caller's deadline, each request is refused as too late, and so no attempt
     * shows that the instances are fast again. Requests are let in once the old time has faded.
     */
    private double trust(long now) {
        long stale = now - mLearnedAt - STALE_NANOS;
        return stale <= 0 ? 1 : Math.pow(0.5, (double) stale / STALE_NANOS);
    }

    private void learn(long took, long now) {
        double trust = trust(now);
        mUsualTime *= trust;
        mDeviation *= trust;
        mLearnedAt = now;
        boolean first = mUsualTime == 0;
        mDeviation += (Math.abs(took - mUsualTime) - mDeviation) * (first ? 0 : TIME_WEIGHT);
        mUsualTime += (took - mUsualTime) * (first ? 1 : TIME_WEIGHT);
    }

    /** Requests that wait. */
    public int waiting() {
        return mQueue.size();
    }

    /** Says whether a request would get its turn in time. */
    public Admission check(PendingRequest<T> request, long now) {
        return mQueue.check(queued(request), neededTime(now), now);
    }

    /** Lets a request wait for its turn. */
    public void add(PendingRequest<T> request) {
        mQueue.add(queued(request));
    }

    /** The next attempt, where a request waits and an instance has room. */
    public Optional<Attempt<T>> next(long now) {
        if (mQueue.size() == 0) {
            return Optional.empty();
        }
        Optional<Target> target = mRouter.choose(mService, Set.of());
        if (target.isEmpty()) {
            mQueue.backlog(now);
            return Optional.empty();
        }
        return mQueue.take(now)
                .map(
                        t -> {
                            mRetries.earn();
                            return begin(t.item(), target.get(), now);
                        });
    }

    /** Takes in how an attempt ended; gives the one that follows it, where one may. */
    public Optional<Attempt<T>> ended(Attempt<T> attempt, AttemptEnd end, long now) {
        long took = now - attempt.started();
        attempt.target().end(end, took, now);
        if (end == AttemptEnd.GOOD) {
            learn(took, now);
        }
        PendingRequest<T> r = attempt.request();
        boolean worthwhile = r.attempts() < MAX_ATTEMPTS && r.left(now) > neededTime(now);
        if (!worthwhile || !r.rule().allowsAnother(end)) {
            return Optional.empty();
        }
        Optional<Target> target = mRouter.choose(mService, r.tried());
        if (target.isEmpty() && end.nothingSent()) {
            target = mRouter.choose(mService, Set.of());
        }
        // An attempt that reached nobody adds no load anywhere and costs no budget.
        if (target.isEmpty() || !end.nothingSent() && !mRetries.spend()) {
            return Optional.empty();
        }
        return Optional.of(begin(r, target.get(), now));
    }

    /** Removes the requests that can no longer be answered in time. */
    public List<T> giveUp(long now) {
        return mQueue.giveUp(neededTime(now), now).stream().map(t -> t.item().item()).toList();
    }

    private Attempt<T> begin(PendingRequest<T> r, Target target, long now) {
        r.attempted(target.server().vm());
        target.begin();
        return new Attempt<>(r, target, now, timeout(r, now));
    }

    /** A repeatable request leaves half of its time for a retry, in case the instance is frozen. */
    private long timeout(PendingRequest<T> r, long now) {
        long left = Math.max(0, r.left(now));
        boolean splits =
                r.rule() == RunRule.REPEATABLE
                        && r.attempts() < MAX_ATTEMPTS
                        && left > TIMES_WORTH_SPLITTING * usualTime();
        return splits ? left / 2 : left;
    }

    private static <T> Ticket<PendingRequest<T>> queued(PendingRequest<T> r) {
        Ticket<T> t = r.ticket();
        return new Ticket<>(r, t.requestClass(), t.team(), t.deadline(), t.bytes());
    }
}
