package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.List;

/**
 * Finds runs that stand still or crawl, and takes them to other workers.
 *
 * <p>Guards against workers that take tasks and do nothing, or work several times slower, while
 * they answer looks as usual: without the guard a job waits for its slowest task, and the worker
 * looks free for more. A single slow run may just be a long one; a worker is slow when its runs
 * together take several times their estimates.
 */
final class SlowWorkers {
    /** A run whose progress stays the same for so long stands still, in milliseconds. */
    private static final long STILL_MS = 1800;

    /** A standing task that is not at work makes progress within this time, in milliseconds. */
    private static final long STARTUP_MS = 6000;

    /**
     * Runs that take so many times as long as others of their service, against their estimates,
     * make a worker slow: slowed workers take four times as long or more, and estimates are off by
     * half, so that the mean of a few runs of a sound worker stays below.
     */
    private static final double SLOW_RATIO = 3;

    /** Runs that are needed to judge a worker. */
    private static final int RUNS_TO_JUDGE = 3;

    /** A run must be this old to tell anything, in milliseconds. */
    private static final long YOUNG_MS = 500;

    /** Progress below which a run tells nothing. */
    private static final double FIRST_PERCENT = 2;

    /** A slow or still worker is left alone for so long, in milliseconds. */
    private static final long AVOID_MS = 2500;

    /** A run is only taken elsewhere if it would take so many times as long where it is. */
    private static final double GAIN = 1.5;

    private static final double WHOLE = 100;

    private SlowWorkers() {}

    /**
     * Runs that should be stopped and started elsewhere.
     *
     * @param usual how long runs of the service usually take, against their estimates
     */
    static List<TaskRun> find(WorkerState worker, double usual, long nowMs) {
        List<TaskRun> found = new ArrayList<>();
        double ratios = 0;
        int judged = 0;
        for (TaskRun r : worker.runs()) {
            if (r.phase() != RunPhase.RUNNING || r.pace() < WHOLE) {
                continue;
            }
            if (isStill(r, nowMs)) {
                found.add(r);
            } else if (tells(r, nowMs)) {
                ratios += ratio(r, nowMs);
                judged++;
            }
        }
        if (!found.isEmpty()) {
            worker.slowUntil(nowMs + AVOID_MS);
        }
        if (judged >= RUNS_TO_JUDGE && ratios / judged > SLOW_RATIO * usual) {
            worker.slowUntil(nowMs + AVOID_MS);
            addCrawling(worker, usual, nowMs, found);
        }
        return found;
    }

    /** Why a run is stopped, for the log. */
    static String describe(TaskRun run, long nowMs) {
        return String.format(
                "%s at %.0f%% after %d ms, estimate %d ms",
                isStill(run, nowMs) ? "stands still" : "crawls",
                run.percent(),
                nowMs - run.firstSeenMs(),
                run.slot().spec().estimateMs());
    }

    private static void addCrawling(
            WorkerState worker, double usual, long nowMs, List<TaskRun> found) {
        for (TaskRun r : worker.runs()) {
            boolean batch = !r.slot().spec().mode().standing();
            if (batch
                    && r.phase() == RunPhase.RUNNING
                    && !found.contains(r)
                    && gains(r, usual, nowMs)) {
                found.add(r);
            }
        }
    }

    /** Whether the run would end sooner if it began anew elsewhere. */
    private static boolean gains(TaskRun run, double usual, long nowMs) {
        double age = nowMs - run.firstSeenMs();
        double left = age / Math.max(1, run.percent()) * (WHOLE - run.percent());
        double anew = usual * run.slot().spec().estimateMs();
        return age > YOUNG_MS && left > GAIN * anew;
    }

    private static boolean isStill(TaskRun run, long nowMs) {
        if (run.slot().spec().mode().standing()) {
            return run.percent() < WHOLE && nowMs - run.percentMs() > STARTUP_MS;
        }
        boolean gang = run.slot().spec().placement().gang();
        return !gang && run.percent() < WHOLE && nowMs - run.percentMs() > STILL_MS;
    }

    private static boolean tells(TaskRun run, long nowMs) {
        return !run.slot().spec().mode().standing()
                && !run.slot().spec().mode().fills()
                && !WorkerChooser.isFar(run.slot(), run.worker())
                && run.percent() > FIRST_PERCENT
                && nowMs - run.firstSeenMs() > YOUNG_MS;
    }

    /** Expected run time against the estimate. */
    static double ratio(TaskRun run, long nowMs) {
        double expected = (nowMs - run.firstSeenMs()) * WHOLE / run.percent();
        return expected / Math.max(1, run.slot().spec().estimateMs());
    }
}
