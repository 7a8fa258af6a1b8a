package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.foxtailplank.admission.QueueCapacity;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.port.FleetConfig;

/**
 * List of the latest completion times of waiting jobs, as an alternative to the sum of their work.
 *
 * <p>A job comes after those whose latest completions are earlier.
 */
final class CompletionList {
    private static final int BENEFIT_FACTOR = 3;

    private final QueueCapacity mCapacity;
    private final List<Latest> mInTime = new ArrayList<>();
    private final List<Latest> mLate = new ArrayList<>();

    private record Latest(long wallMs, long work) {}

    CompletionList(
            Scheduler scheduler, FleetConfig config, QueueCapacity capacity, long nowWallMs) {
        mCapacity = capacity;
        List<ActiveRun> runs =
                scheduler.dueRunsByService(nowWallMs).getOrDefault(capacity.service(), List.of());
        Set<ActiveRun> selected =
                new OnTimeSelection(
                                PoolCapacity.of(capacity.milliCores()),
                                scheduler.caps(config),
                                nowWallMs)
                        .select(runs);
        for (ActiveRun r : runs) {
            JobDefinition definition = r.job().definition();
            if (definition.isStanding() || !r.job().isEntitled()) {
                continue;
            }
            long objectiveMs = UrgencyOrder.objectiveMs(r);
            long lengthMs = objectiveMs - definition.acceptedMs();
            if (selected.contains(r)) {
                mInTime.add(new Latest(objectiveMs, r.remainingWork()));
            } else {
                long endMs = definition.acceptedMs() + BENEFIT_FACTOR * lengthMs;
                mLate.add(new Latest(endMs, r.remainingWork()));
            }
        }
        mInTime.sort(Comparator.comparingLong(Latest::wallMs));
        mLate.sort(Comparator.comparingLong(Latest::wallMs));
    }

    /** Capacity with the work that comes before a job. */
    QueueCapacity capacityFor(JobDefinition job, long nowWallMs) {
        long lengthMs = job.objectiveLengthMs();
        long before = sumUntil(mInTime, nowWallMs + lengthMs);
        if (delaysOthers(job, nowWallMs)) {
            before = sumUntil(mInTime, Long.MAX_VALUE);
        }
        return new QueueCapacity(
                mCapacity.service(),
                mCapacity.measuredMs(),
                mCapacity.milliCores(),
                mCapacity.freeMilliCores(),
                mCapacity.joining(),
                before,
                sumUntil(mLate, nowWallMs + BENEFIT_FACTOR * lengthMs),
                mCapacity.excessWork(),
                mCapacity.organisations());
    }

    private static long sumUntil(List<Latest> list, long wallMs) {
        long sum = 0;
        for (Latest l : list) {
            if (l.wallMs() > wallMs) {
                break;
            }
            sum += l.work();
        }
        return sum;
    }

    /** Whether a job with a later objective would miss it. */
    private boolean delaysOthers(JobDefinition job, long nowWallMs) {
        double sum = job.estimatedWork();
        for (Latest l : mInTime) {
            sum += l.work();
            boolean later = l.wallMs() > nowWallMs + job.objectiveLengthMs();
            if (later && sum > possibleWork(l.wallMs() - nowWallMs)) {
                return true;
            }
        }
        return false;
    }

    private double possibleWork(long ms) {
        double work = (double) mCapacity.milliCores() * ms;
        for (QueueCapacity.Joining j : mCapacity.joining()) {
            work += (double) j.milliCores() * Math.max(0, ms - j.afterMs());
        }
        return work;
    }
}
