package org.foxtailplank.schedule;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

/**
 * In which order jobs get workers when there is too little room for all.
 *
 * <p>Answers the load of a queue that asks five times its mean for some seconds. A lower priority
 * number goes first, and standing tasks before others of the same priority. Then come the runs that
 * can still meet their objective, the one whose last moment to start is nearest first: any other
 * order among them misses more objectives while all fit. Runs that are late already earn little and
 * lose little by waiting; they go last, the shortest first, so that most of them end soon.
 */
final class Urgency {
    private static final Comparator<Ranked> ORDER =
            Comparator.comparingInt((Ranked r) -> r.priority())
                    .thenComparing(Ranked::standing, Comparator.reverseOrder())
                    .thenComparing(Ranked::late)
                    .thenComparingLong(Ranked::key)
                    .thenComparing(r -> r.run().job().id());

    private Urgency() {}

    private record Ranked(ActiveRun run, int priority, boolean standing, boolean late, long key) {}

    /** Sorts runs, the most urgent first. */
    static List<ActiveRun> sort(List<ActiveRun> runs, long nowWallMs) {
        return runs.stream()
                .map(r -> rank(r, nowWallMs))
                .sorted(ORDER)
                .map(Ranked::run)
                .collect(Collectors.toList());
    }

    private static Ranked rank(ActiveRun run, long nowWallMs) {
        ActiveJob job = run.job();
        int priority = job.order().terms().priority();
        if (job.order().isStanding()) {
            return new Ranked(run, priority, true, false, job.order().acceptedMs());
        }
        long slack = slackMs(run, nowWallMs);
        boolean late = slack < 0;
        return new Ranked(run, priority, false, late, late ? run.remainingWork() : slack);
    }

    /** Time until the run must go on without a pause to meet its objective; negative if it can't. */
    static long slackMs(ActiveRun run, long nowWallMs) {
        return objectiveMs(run) - nowWallMs - run.remainingMs();
    }

    /** When the run's objective ends, in milliseconds since 1970. */
    static long objectiveMs(ActiveRun run) {
        var order = run.job().order();
        long begin = run.dueWallMs() > 0 ? run.dueWallMs() : order.acceptedMs();
        return begin + (long) (order.terms().stretch() * order.chainMs()) + order.terms().sloMs();
    }
}
