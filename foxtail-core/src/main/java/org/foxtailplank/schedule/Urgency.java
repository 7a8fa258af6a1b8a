package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.foxtailplank.job.JobOrder;

/**
 * In which order jobs get workers when there is too little room for all.
 *
 * <p>Answers the load of a queue that asks several times what its workers can do for some seconds.
 * A lower priority number goes first, and standing tasks before others of the same priority. Among
 * the rest the jobs that can all meet their objectives with the room there is are found: they are
 * taken in the order of their objectives, and whenever the work up to one of them is more than the
 * workers can do until then, the largest job so far is left out. That order meets the most
 * objectives on one machine of the pool's size; going by objectives alone, every job of an overload
 * waits for all that came before it and just misses its own. Jobs that are left out follow, the
 * shortest first, and then those that are late already: they earn little and lose little by
 * waiting.
 */
final class Urgency {
    private static final Comparator<Ranked> ORDER =
            Comparator.comparingInt((Ranked r) -> r.priority())
                    .thenComparing(Ranked::group)
                    .thenComparingLong(Ranked::key)
                    .thenComparing(r -> r.run().job().id());

    private Urgency() {}

    private enum Group {
        STANDING,
        IN_TIME,
        LEFT_OUT,
        LATE
    }

    private record Ranked(ActiveRun run, int priority, Group group, long key) {}

    /**
     * Sorts runs, the most urgent first.
     *
     * @param milliCores what the workers offer besides standing tasks, in thousandths of a core
     */
    static List<ActiveRun> sort(List<ActiveRun> runs, long milliCores, long nowWallMs) {
        Set<ActiveRun> inTime = inTime(runs, milliCores, nowWallMs);
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
        int priority = job.order().terms().priority();
        if (job.order().isStanding()) {
            return new Ranked(run, priority, Group.STANDING, job.order().acceptedMs());
        }
        long slack = slackMs(run, nowWallMs);
        if (inTime.contains(run)) {
            return new Ranked(run, priority, Group.IN_TIME, slack);
        }
        Group group = slack < 0 ? Group.LATE : Group.LEFT_OUT;
        return new Ranked(run, priority, group, run.remainingWork());
    }

    /** The runs that can meet their objectives together. */
    private static Set<ActiveRun> inTime(List<ActiveRun> runs, long milliCores, long nowWallMs) {
        List<ActiveRun> candidates = new ArrayList<>();
        Map<ActiveRun, Long> works = new HashMap<>();
        for (ActiveRun r : runs) {
            if (!r.job().order().isStanding() && slackMs(r, nowWallMs) >= 0) {
                candidates.add(r);
                works.put(r, r.remainingWork());
            }
        }
        candidates.sort(Comparator.comparingLong(Urgency::objectiveMs));
        PriorityQueue<ActiveRun> largest =
                new PriorityQueue<>(
                        Comparator.comparingLong((ActiveRun r) -> works.get(r)).reversed());
        double work = 0;
        for (ActiveRun r : candidates) {
            largest.add(r);
            work += works.get(r);
            double room = (double) milliCores * (objectiveMs(r) - nowWallMs);
            while (work > room && !largest.isEmpty()) {
                work -= works.get(largest.poll());
            }
        }
        return new HashSet<>(largest);
    }

    /**
     * Time until the run must go on without a pause to meet its objective; negative if it can't.
     */
    static long slackMs(ActiveRun run, long nowWallMs) {
        return objectiveMs(run) - nowWallMs - run.remainingMs();
    }

    /** When the run's objective ends, in milliseconds since 1970. */
    static long objectiveMs(ActiveRun run) {
        JobOrder order = run.job().order();
        long begin = run.dueWallMs() > 0 ? run.dueWallMs() : order.acceptedMs();
        return begin + objectiveLengthMs(order);
    }

    /** How long a run of the job's steps may take, in milliseconds. */
    static long objectiveLengthMs(JobOrder order) {
        return (long) (order.terms().stretch() * order.chainMs()) + order.terms().sloMs();
    }
}
