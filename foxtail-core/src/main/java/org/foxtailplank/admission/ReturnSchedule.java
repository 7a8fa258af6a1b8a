package org.foxtailplank.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.admission.PlaceTable.Place;
import org.foxtailplank.job.JobDefinition;

/**
 * Determines when the callers of refused jobs should return, as sent in {@code Retry-After}.
 *
 * <p>Addresses callers that return together: each second gets no more work than the node's part of
 * the pool can do in it. A job keeps its place by its ID until it has no benefit any more. When its
 * time has come, new jobs leave it its part of what the node may accept; how much they leave
 * follows from the share of callers that return. A caller that is early keeps its place, and one
 * that is late gets the next second even if that is full.
 *
 * <p>Not thread-safe. Times are milliseconds of a monotonic clock.
 */
public final class ReturnSchedule {
    /** Most refused jobs that are kept; one beyond that has no place when it returns. */
    static final int MAX_PLACES = 100_000;

    private static final long MS_PER_S = 1000;

    private final PlaceTable mPlaces = new PlaceTable(MAX_PLACES);
    private final Map<String, Integer> mQueues = new HashMap<>();
    private final List<ReturnPlan> mPlans = new ArrayList<>();
    private long mSweptS = Long.MIN_VALUE;

    /** What is known of a job that is submitted. */
    public Returning returning(String id, long nowMs) {
        sweep(nowMs);
        int i = mPlaces.find(PlaceTable.key(id));
        if (i == PlaceTable.NONE) {
            return Returning.FIRST_TIME;
        }
        Place place = mPlaces.get(i);
        boolean due = place.returnS() != PlaceTable.NONE && place.returnS() <= second(nowMs);
        return new Returning(Math.max(1, nowMs - place.firstMs()), due);
    }

    /** What is left for a job of the node's share after those that were refused before it. */
    public AdmittedShare shareFor(JobDefinition job, AdmittedShare share, long nowMs) {
        sweep(nowMs);
        int i = mPlaces.find(PlaceTable.key(job.id()));
        // A place keeps its queue if the operator changes the service of the job's route.
        Integer queue =
                i != PlaceTable.NONE
                        ? (Integer) mPlaces.get(i).queue()
                        : mQueues.get(job.service());
        if (queue == null) {
            return share;
        }
        ReturnPlan plan = mPlans.get(queue);
        boolean returns = i != PlaceTable.NONE && mPlaces.get(i).returnS() != PlaceTable.NONE;
        long lastS = returns ? mPlaces.get(i).returnS() - 1 : second(nowMs);
        return new AdmittedShare(share.work() - plan.due(Math.min(lastS, second(nowMs))));
    }

    /**
     * Returns what {@link #refused} would return now, without recording a refusal.
     *
     * @param nodeShare this node's part of the pool's capacity, above 0 and at most 1
     */
    public Optional<Integer> returnAfterS(
            JobDefinition job, Verdict verdict, double nodeShare, long nowMs) {
        sweep(nowMs);
        return verdict.estimate()
                .map(e -> returnSecond(place(job, e, nowMs), verdict, nodeShare, nowMs))
                .flatMap(s -> secondsUntil(s, nowMs));
    }

    /**
     * Records that a job was refused.
     *
     * @param nodeShare this node's part of the pool's capacity, above 0 and at most 1
     * @return time after which the caller should return, in seconds; empty if a later return can't
     *     have any benefit
     */
    public Optional<Integer> refused(
            JobDefinition job, Verdict verdict, double nodeShare, long nowMs) {
        sweep(nowMs);
        if (verdict.estimate().isEmpty()) {
            return Optional.empty();
        }
        Place place = place(job, verdict.estimate().get(), nowMs);
        long second = returnSecond(place, verdict, nodeShare, nowMs);
        move(mPlans.get(place.queue()), place, second);
        long key = PlaceTable.key(job.id());
        if (mPlaces.find(key) != PlaceTable.NONE || !mPlaces.isFull()) {
            mPlaces.put(key, place.withReturn(second));
        }
        return secondsUntil(second, nowMs);
    }

    /** The place of a job, or a new one without a return. */
    private Place place(JobDefinition job, Verdict.Estimate estimate, long nowMs) {
        int i = mPlaces.find(PlaceTable.key(job.id()));
        return i != PlaceTable.NONE
                ? mPlaces.get(i)
                : new Place(
                        queue(job.service(), nowMs),
                        nowMs,
                        nowMs + estimate.benefitMs(),
                        estimate.work(),
                        PlaceTable.NONE);
    }

    private static Optional<Integer> secondsUntil(long second, long nowMs) {
        return second == PlaceTable.NONE
                ? Optional.empty()
                : Optional.of((int) Math.max(1, second - second(nowMs)));
    }

    /** Records that a job was accepted, perhaps after it was refused. */
    public void accepted(String id, long nowMs) {
        sweep(nowMs);
        int i = mPlaces.find(PlaceTable.key(id));
        if (i == PlaceTable.NONE) {
            return;
        }
        Place place = mPlaces.get(i);
        if (place.returnS() != PlaceTable.NONE) {
            mPlans.get(place.queue()).returned(place.returnS(), place.work());
        }
        mPlaces.remove(i);
    }

    /** Number of refused jobs that are kept. */
    public int size() {
        return mPlaces.size();
    }

    /** Second of the next return, or none. */
    private long returnSecond(Place place, Verdict verdict, double nodeShare, long nowMs) {
        Verdict.Estimate estimate = verdict.estimate().get();
        QueueCapacity capacity = estimate.capacity();
        long lastMs = place.endMs() - estimate.criticalPathMs() / AdmissionDecider.ERROR_FACTOR;
        long waitMs = capacity.timeForMs(estimate.workAhead(), estimate.ageMs());
        if (verdict.outlook() == Outlook.SURELY_LATE || waitMs > lastMs - nowMs) {
            return PlaceTable.NONE;
        }
        long nextS = second(nowMs) + 1;
        boolean early = place.returnS() >= nextS;
        if (early && place.returnS() * MS_PER_S <= lastMs) {
            return place.returnS();
        }
        long fromS = Math.max(nextS, second(nowMs) + second(waitMs + MS_PER_S - 1));
        // The caller's time within its second is that of the refusal, so the last one ends earlier.
        long toS = second(nowMs) + (lastMs - nowMs) / MS_PER_S;
        boolean late = place.returnS() != PlaceTable.NONE;
        long limit = late ? Long.MAX_VALUE : perSecond(capacity, nodeShare);
        return mPlans.get(place.queue()).firstFree(fromS, toS, limit);
    }

    /** Work that this node's part of the pool does in a second. */
    private static long perSecond(QueueCapacity capacity, double nodeShare) {
        long milliCores = capacity.milliCores();
        for (QueueCapacity.Joining j : capacity.joining()) {
            milliCores += j.milliCores();
        }
        return (long) (nodeShare * milliCores * MS_PER_S);
    }

    private static void move(ReturnPlan plan, Place place, long second) {
        if (second != place.returnS()) {
            if (place.returnS() != PlaceTable.NONE) {
                plan.remove(place.returnS(), place.work());
            }
            if (second != PlaceTable.NONE) {
                plan.add(second, place.work());
            }
        }
    }

    private int queue(String service, long nowMs) {
        return mQueues.computeIfAbsent(
                service,
                s -> {
                    mPlans.add(new ReturnPlan(second(nowMs)));
                    return mPlans.size() - 1;
                });
    }

    private void sweep(long nowMs) {
        long nowS = second(nowMs);
        if (nowS != mSweptS) {
            mSweptS = nowS;
            mPlaces.removeExpired(nowMs);
            mPlans.forEach(p -> p.advance(nowS));
        }
    }

    private static long second(long ms) {
        return Math.floorDiv(ms, MS_PER_S);
    }
}
