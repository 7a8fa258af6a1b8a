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
 * Requests of one service that wait for room at an instance.
 *
 * <p>Urgent ones go first; within a class the teams share by quota. The queue is limited by
 * deadline: a request that would not get its turn in time is refused when it comes, and one whose
 * turn has become hopeless is given up at once.
 *
 * @param <T> what stands for a request
 */
public final class AdmissionQueue<T> {

    private static final double PACE_WEIGHT = 0.05;

    private final Map<RequestClass, ClassQueue<T>> mClasses = new EnumMap<>(RequestClass.class);
    private final long mMaxBytes;
    private long mBytes;
    private double mPace;
    private long mLastTake;
    private boolean mBacklog;

    /**
     * Starts empty.
     *
     * @param quotas quota of each team
     * @param maxBytes memory that all waiting requests may hold
     */
    public AdmissionQueue(ToDoubleFunction<String> quotas, long maxBytes) {
        mMaxBytes = maxBytes;
        for (RequestClass c : RequestClass.values()) {
            mClasses.put(c, new ClassQueue<>(quotas));
        }
    }

    /** Requests that wait. */
    public int size() {
        return mClasses.values().stream().mapToInt(ClassQueue::size).sum();
    }

    /**
     * Says whether a request would get its turn in time.
     *
     * @param service usual time from its turn to its answer, in nanoseconds
     */
    public Admission check(Ticket<T> ticket, long service, long now) {
        if (mBytes + ticket.bytes() > mMaxBytes) {
            return new Admission(Admission.Reason.FULL, (long) (mPace * size()));
        }
        long wait = (long) (ahead(ticket) * mPace);
        if (ticket.deadline() - now >= wait + service) {
            return new Admission(Admission.Reason.ADMITTED, wait);
        }
        boolean over = mClasses.get(ticket.requestClass()).overQuota(ticket.team());
        Admission.Reason reason = over ? Admission.Reason.OVER_QUOTA : Admission.Reason.TOO_LATE;
        return new Admission(reason, Math.max(wait, service));
    }

    /** Lets a request wait. */
    public void add(Ticket<T> ticket) {
        mBytes += ticket.bytes();
        mClasses.get(ticket.requestClass()).add(ticket);
    }

    /** Takes the request whose turn it is. */
    public Optional<Ticket<T>> take(long now) {
        for (ClassQueue<T> c : mClasses.values()) {
            Ticket<T> next = c.take();
            if (next != null) {
                mBytes -= next.bytes();
                measurePace(now);
                return Optional.of(next);
            }
        }
        return Optional.empty();
    }

    /** Room has run out while requests wait: from now on the time between turns is measured. */
    public void backlog(long now) {
        if (!mBacklog) {
            mBacklog = true;
            mLastTake = now;
        }
    }

    /** Removes the requests that can no longer be answered in time. */
    public List<Ticket<T>> giveUp(long service, long now) {
        List<Ticket<T>> late = new ArrayList<>();
        for (ClassQueue<T> c : mClasses.values()) {
            int before = late.size();
            c.teams().forEach(t -> collectLate(t, now + service, late));
            c.trim(late.size() - before);
        }
        late.forEach(t -> mBytes -= t.bytes());
        return late;
    }

    private void collectLate(TeamQueue<T> team, long end, List<Ticket<T>> late) {
        Iterator<Ticket<T>> it = team.tickets().iterator();
        while (it.hasNext()) {
            Ticket<T> t = it.next();
            if (t.deadline() - end < 0) {
                it.remove();
                late.add(t);
            }
        }
    }

    private double ahead(Ticket<T> ticket) {
        double ahead = 0;
        for (RequestClass c : RequestClass.values()) {
            if (c == ticket.requestClass()) {
                return ahead + mClasses.get(c).ahead(ticket.team());
            }
            ahead += mClasses.get(c).size();
        }
        return ahead;
    }

    private void measurePace(long now) {
        if (!mBacklog) {
            return;
        }
        double gap = now - mLastTake;
        mPace += (gap - mPace) * (mPace == 0 ? 1 : PACE_WEIGHT);
        mLastTake = now;
        mBacklog = size() > 0;
    }
}
