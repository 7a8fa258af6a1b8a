package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.List;

/**
 * Slows tasks that fill a worker while they disturb the tasks that serve there.
 *
 * <p>Guards against a serving task whose tail latency stays over its target because of what fills
 * the worker beside it. How much they disturb isn't known and changes within seconds, so that the
 * pace is found by trying: it is cut by half as soon as a tail nears its target, and given back in
 * steps while all tails are well below.
 */
final class PaceControl {
    /** Share of its target at which a tail is too near. */
    private static final double NEAR = 0.85;

    /** Share of its target below which a tail is well. */
    private static final double WELL = 0.6;

    private static final double CUT = 0.5;
    private static final int LOWEST_PACE = 5;
    private static final int STEP_UP = 15;
    private static final int FULL = 100;

    /** Time for a pace to show in a tail, in milliseconds: tails cover the last half second. */
    private static final long SETTLE_MS = 700;

    private PaceControl() {}

    /** Whether the worker has tasks of both kinds. */
    static boolean isMixed(WorkerState worker) {
        boolean serves = false;
        boolean fills = false;
        for (TaskRun r : worker.runs()) {
            serves |= r.slot().spec().mode().targetMs() > 0;
            fills |= r.slot().spec().mode().fills();
        }
        return serves && fills;
    }

    /** The paces to change after a look at the worker. */
    static List<Decisions.Pace> adjust(WorkerState worker, long nowMs) {
        if (!isMixed(worker)) {
            return List.of();
        }
        int pace = worker.fillPace();
        if (nowMs - worker.fillPaceMs() >= SETTLE_MS) {
            pace = next(pace, worstTail(worker));
            worker.fillPace(pace, nowMs);
        }
        List<Decisions.Pace> changes = new ArrayList<>();
        for (TaskRun r : worker.runs()) {
            boolean fills = r.slot().spec().mode().fills();
            if (fills && r.phase() == RunPhase.RUNNING && r.pace() != pace) {
                r.pace(pace);
                changes.add(new Decisions.Pace(r, pace));
            }
        }
        return changes;
    }

    private static int next(int pace, double tail) {
        if (tail > NEAR) {
            int cut = (int) (pace * CUT);
            return cut < LOWEST_PACE ? 0 : cut;
        }
        return tail < WELL ? Math.min(FULL, pace + STEP_UP) : pace;
    }

    /** The highest tail of a serving task, as a share of its target. */
    private static double worstTail(WorkerState worker) {
        double worst = 0;
        for (TaskRun r : worker.runs()) {
            long target = r.slot().spec().mode().targetMs();
            if (target > 0 && r.isAtWork()) {
                worst = Math.max(worst, (double) r.gauge() / target);
            }
        }
        return worst;
    }
}
