package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.foxtailplank.job.JobDefinition;

/**
 * Orders jobs by urgency when there is too little capacity for all.
 *
 * <p>Lower priority numbers come first, and within a priority standing tasks come before batch
 * tasks. The batch jobs that can meet their objectives together follow ({@link OnTimeSelection});
 * plain earliest-deadline order would make all jobs of an overloaded queue slightly late. Deferred
 * jobs follow, the shortest first, and then late jobs, which have little value left.
 *
 * <p>Jobs beyond the rate that their organisation is entitled to come after all others, the
 * shortest first, so that they delay no other organisation.
 */
final class UrgencyOrder {
    private static final Comparator<Ranked> ORDER =
            Comparator.comparing((Ranked r) -> r.group() == Group.EXCESS)
                    .thenComparingInt(Ranked::priority)
                    .thenComparing(Ranked::group)
                    .thenComparingLong(Ranked::key)
                    .thenComparing(r -> r.run().job().id());

    private UrgencyOrder() {}

    private enum Group {
        STANDING,
        IN_TIME,
        DEFERRED,
        LATE,
        EXCESS
    }

    private record Ranked(ActiveRun run, int priority, Group group, long key) {}

    /**
     * Sorts runs by decreasing urgency.
     *
     * @param capacity capacity of the pool
     * @param caps caps of the organisations whose jobs these are
     */
    static List<ActiveRun> sort(
            List<ActiveRun> runs, PoolCapacity capacity, OrganisationCaps caps, long nowWallMs) {
        Set<ActiveRun> inTime = new OnTimeSelection(capacity, caps, nowWallMs).select(runs);
        List<Ranked> ranked = new ArrayList<>(runs.size());
        for (ActiveRun r : runs) {
            ranked.add(rank(r, inTime, nowWallMs));
        }
        ranked.sort(ORDER);
        List<ActiveRun> sorted = new ArrayList<>(ranked.size());
        ranked.forEach(r -> sorted.add(r.run()));
        return sorted;
    }

    private static Ranked rank(ActiveRun run, Set<ActiveRun> inTime, long nowWallMs) {
        ActiveJob job = run.job();
        int priority = job.definition().policy().priority();
        if (job.definition().isStanding()) {
            return new Ranked(run, priority, Group.STANDING, job.definition().acceptedMs());
        }
        if (!job.isEntitled()) {
            return new Ranked(run, priority, Group.EXCESS, run.remainingWork());
        }
        long slack = slackMs(run, nowWallMs);
        if (inTime.contains(run)) {
            return new Ranked(run, priority, Group.IN_TIME, slack);
        }
        Group group = slack < 0 ? Group.LATE : Group.DEFERRED;
        return new Ranked(run, priority, group, run.remainingWork());
    }

    /**
     * Time by which the run can be delayed and still meet its objective; negative if it is late.
     */
    static long slackMs(ActiveRun run, long nowWallMs) {
        return objectiveMs(run) - nowWallMs - run.remainingCriticalPathMs();
    }

    /** Deadline set by the run's objective, in milliseconds since 1970. */
    static long objectiveMs(ActiveRun run) {
        JobDefinition definition = run.job().definition();
        long begin = run.dueWallMs() > 0 ? run.dueWallMs() : run.job().submittedMs();
        return begin + definition.objectiveLengthMs(run.criticalPathMs());
    }
}
