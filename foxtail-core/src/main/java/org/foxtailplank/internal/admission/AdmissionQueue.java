package org.foxtailplank.internal.admission;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.foxtailplank.request.RequestClass;

/**
 * Queue of the requests of one service that wait for an available instance.
 *
 * <p>Classes have strict priority; within a class, teams share the service by weighted fair
 * queueing. Deadlines bound the queue: requests that would miss theirs are rejected on arrival or
 * removed as soon as this becomes certain.
 *
 * @param <T> type that represents a request
 */
public final class AdmissionQueue<T> {

    private static final double INTERVAL_WEIGHT = 0.05;

    private final Map<RequestClass, ClassQueue<T>> mClasses = new EnumMap<>(RequestClass.class);
    private final long mMaxBytes;
    private long mBytes;
    private double mMeanInterval;
    private long mLastTakenAt;
    private boolean mBacklog;

    /**
     * Creates an empty queue.
     *
     * @param quotas quota by team
     * @param maxBytes memory limit for all queued requests
     */
    public AdmissionQueue(ToDoubleFunction<String> quotas, long maxBytes) {
        mMaxBytes = maxBytes;
        for (RequestClass c : RequestClass.values()) {
            mClasses.put(c, new ClassQueue<>(quotas));
        }
    }

    /** Returns the number of queued requests. */
    public int size() {
        return mClasses.values().stream().mapToInt(ClassQueue::size).sum();
    }

    /**
     * Checks whether a request can be served before its deadline.
     *
     * @param serviceTime expected time from dispatch to response, in nanoseconds
     */
    public Admission check(QueuedRequest<T> request, long serviceTime, long now) {
        if (mBytes + request.bytes() > mMaxBytes) {
            return new Admission(Admission.Reason.FULL, (long) (mMeanInterval * size()));
        }
        long wait = (long) (requestsAhead(request) * mMeanInterval);
        if (request.deadline() - now >= wait + serviceTime) {
            return new Admission(Admission.Reason.ADMITTED, wait);
        }
        boolean overQuota = mClasses.get(request.requestClass()).overQuota(request.team());
        Admission.Reason reason =
                overQuota ? Admission.Reason.OVER_QUOTA : Admission.Reason.TOO_LATE;
        return new Admission(reason, Math.max(wait, serviceTime));
    }

    /** Adds a request. */
    public void add(QueuedRequest<T> request) {
        mBytes += request.bytes();
        mClasses.get(request.requestClass()).add(request);
    }

    /** Removes and returns the next request. */
    public Optional<QueuedRequest<T>> take(long now) {
        for (ClassQueue<T> c : mClasses.values()) {
            QueuedRequest<T> next = c.take();
            if (next != null) {
                mBytes -= next.bytes();
                recordInterval(now);
                return Optional.of(next);
            }
        }
        return Optional.empty();
    }

    /** Starts to measure the dispatch interval, as requests wait and no instance is available. */
    public void backlogStarted(long now) {
        if (!mBacklog) {
            mBacklog = true;
            mLastTakenAt = now;
        }
    }

    /** Removes and returns requests that can no longer meet their deadline. */
    public List<QueuedRequest<T>> removeExpired(long serviceTime, long now) {
        List<QueuedRequest<T>> expired = new ArrayList<>();
        for (ClassQueue<T> c : mClasses.values()) {
            int before = expired.size();
            c.teams().forEach(t -> collectExpired(t, now + serviceTime, expired));
            c.expiredRemoved(expired.size() - before);
        }
        expired.forEach(r -> mBytes -= r.bytes());
        return expired;
    }

    private void collectExpired(
            TeamQueue<T> team, long completion, List<QueuedRequest<T>> expired) {
        Iterator<QueuedRequest<T>> it = team.requests().iterator();
        while (it.hasNext()) {
            QueuedRequest<T> request = it.next();
            if (request.deadline() - completion < 0) {
                it.remove();
                expired.add(request);
            }
        }
    }

    private double requestsAhead(QueuedRequest<T> request) {
        double ahead = 0;
        for (RequestClass c : RequestClass.values()) {
            if (c == request.requestClass()) {
                return ahead + mClasses.get(c).requestsAhead(request.team());
            }
            ahead += mClasses.get(c).size();
        }
        return ahead;
    }

    private void recordInterval(long now) {
        if (!mBacklog) {
            return;
        }
        double interval = now - mLastTakenAt;
        mMeanInterval += (interval - mMeanInterval) * (mMeanInterval == 0 ? 1 : INTERVAL_WEIGHT);
        mLastTakenAt = now;
        mBacklog = size() > 0;
    }
}
