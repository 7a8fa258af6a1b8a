package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.List;

/**
 * Finds runs that are stalled or slow, to be moved to other workers.
 *
 * <p>Guards against workers that answer polls normally but make no progress or run tasks several
 * times slower: a job would wait for its slowest task while the worker appears to have capacity. A
 * single slow run may just be a long one, so a worker counts as slow only if the mean of its runs
 * exceeds their estimates several times.
 */
final class SlowWorkerDetector {
    /** A run without progress for this time is stalled, in milliseconds. */
    private static final long STALLED_MS = 1800;

    /**
     * A standing task that is not ready and makes no progress for this time is stalled, in
     * milliseconds.
     */
    private static final long STARTUP_MS = 6000;

    /**
     * A worker is slow if its runs take this many times as long as usual in their service, relative
     * to their estimates. Slowed workers take four times as long or more; estimates are off by
     * half, so that the mean of a few runs of a sound worker stays below.
     */
    private static final double SLOW_RATIO = 3;

    /** Minimum number of runs before a worker is classified as slow. */
    private static final int MIN_SAMPLES = 3;

    /** Minimum age of a run that is considered, in milliseconds. */
    private static final long MIN_AGE_MS = 500;

    /** Minimum progress of a run that is considered, in percent. */
    private static final double MIN_PERCENT = 2;

    /** Time for which a slow worker is avoided, in milliseconds. */
    private static final long AVOID_MS = 2500;

    /** Minimum ratio of a run's remaining time to the time of a new run elsewhere. */
    private static final double MIN_SPEEDUP = 1.5;

    private static final double FULL_PERCENT = 100;

    private SlowWorkerDetector() {}

    /**
     * Returns the runs to stop and start elsewhere.
     *
     * @param usualRatio typical ratio of actual to estimated run time in the service
     */
    static List<TaskRun> find(WorkerState worker, double usualRatio, long nowMs) {
        List<TaskRun> found = new ArrayList<>();
        double ratios = 0;
        int samples = 0;
        for (TaskRun r : worker.runs()) {
            if (r.phase() != RunPhase.RUNNING || r.pace() < FULL_PERCENT) {
                continue;
            }
            if (isStalled(r, nowMs)) {
                found.add(r);
            } else if (isRepresentative(r, nowMs)) {
                ratios += ratio(r, nowMs);
                samples++;
            }
        }
        if (!found.isEmpty()) {
            worker.markSlowUntil(nowMs + AVOID_MS);
        }
        if (samples >= MIN_SAMPLES && ratios / samples > SLOW_RATIO * usualRatio) {
            worker.markSlowUntil(nowMs + AVOID_MS);
            addSlowRuns(worker, usualRatio, nowMs, found);
        }
        return found;
    }

    /** Explains why a run is stopped, for the log. */
    static String describe(TaskRun run, long nowMs) {
        return String.format(
                "%s at %.0f%% after %d ms, estimate %d ms",
                isStalled(run, nowMs) ? "stalled" : "slow",
                run.progress(),
                nowMs - run.firstSeenMs(),
                run.task().spec().estimateMs());
    }

    private static void addSlowRuns(
            WorkerState worker, double usualRatio, long nowMs, List<TaskRun> found) {
        for (TaskRun r : worker.runs()) {
            boolean batch = !r.task().spec().mode().standing();
            if (batch
                    && r.phase() == RunPhase.RUNNING
                    && !found.contains(r)
                    && endsSoonerElsewhere(r, usualRatio, nowMs)) {
                found.add(r);
            }
        }
    }

    /** Whether the run would end clearly sooner if restarted elsewhere. */
    private static boolean endsSoonerElsewhere(TaskRun run, double usualRatio, long nowMs) {
        double ageMs = nowMs - run.firstSeenMs();
        double leftMs = ageMs / Math.max(1, run.progress()) * (FULL_PERCENT - run.progress());
        double restartMs = usualRatio * run.task().spec().estimateMs();
        return ageMs > MIN_AGE_MS && leftMs > MIN_SPEEDUP * restartMs;
    }

    private static boolean isStalled(TaskRun run, long nowMs) {
        if (run.task().spec().mode().standing()) {
            return run.progress() < FULL_PERCENT && nowMs - run.progressChangedMs() > STARTUP_MS;
        }
        boolean gang = run.task().spec().placement().gang();
        return !gang
                && run.progress() < FULL_PERCENT
                && nowMs - run.progressChangedMs() > STALLED_MS;
    }

    private static boolean isRepresentative(TaskRun run, long nowMs) {
        return !run.task().spec().mode().standing()
                && !run.task().spec().mode().opportunistic()
                && !WorkerChooser.isRemote(run.task(), run.worker())
                && run.progress() > MIN_PERCENT
                && nowMs - run.firstSeenMs() > MIN_AGE_MS;
    }

    /** Ratio of the projected run time to the estimate. */
    static double ratio(TaskRun run, long nowMs) {
        double expected = (nowMs - run.firstSeenMs()) * FULL_PERCENT / run.progress();
        return expected / Math.max(1, run.task().spec().estimateMs());
    }
}
