package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.List;

/**
 * Throttles tasks that use spare capacity while they disturb serving tasks on the same worker.
 *
 * <p>Guards against a serving task whose tail latency stays above its target. The interference is
 * unknown and changes within seconds, so the pace follows a feedback loop: it is halved when a tail
 * latency approaches its target, and raised in steps while all of them are well below.
 */
final class PaceControl {
    /** Share of its target above which a tail latency reduces the pace. */
    private static final double CUT_THRESHOLD = 0.85;

    /** Share of its target below which all tail latencies must be to raise the pace. */
    private static final double RAISE_THRESHOLD = 0.6;

    private static final double CUT_FACTOR = 0.5;
    private static final int MIN_PACE = 5;
    private static final int RAISE_STEP = 15;
    private static final int FULL_PACE = 100;

    /** Time for a new pace to affect tail latencies, which cover half a second, in milliseconds. */
    private static final long SETTLE_MS = 700;

    private PaceControl() {}

    /** Whether the worker runs both serving tasks and tasks that use spare capacity. */
    static boolean isMixed(WorkerState worker) {
        boolean serves = false;
        boolean fills = false;
        for (TaskRun r : worker.runs()) {
            serves |= r.task().spec().mode().latencyObjectiveMs() > 0;
            fills |= r.task().spec().mode().opportunistic();
        }
        return serves && fills;
    }

    /** Returns the pace changes to send after a poll of the worker. */
    static List<Decisions.Pace> adjust(WorkerState worker, long nowMs) {
        if (!isMixed(worker)) {
            return List.of();
        }
        int pace = worker.fillPace();
        if (nowMs - worker.fillPaceMs() >= SETTLE_MS) {
            pace = nextPace(pace, worstTailRatio(worker));
            worker.setFillPace(pace, nowMs);
        }
        List<Decisions.Pace> changes = new ArrayList<>();
        for (TaskRun r : worker.runs()) {
            boolean fills = r.task().spec().mode().opportunistic();
            if (fills && r.phase() == RunPhase.RUNNING && r.pace() != pace) {
                r.setPace(pace);
                changes.add(new Decisions.Pace(r, pace));
            }
        }
        return changes;
    }

    private static int nextPace(int pace, double tailRatio) {
        if (tailRatio > CUT_THRESHOLD) {
            int cut = (int) (pace * CUT_FACTOR);
            return cut < MIN_PACE ? 0 : cut;
        }
        return tailRatio < RAISE_THRESHOLD ? Math.min(FULL_PACE, pace + RAISE_STEP) : pace;
    }

    /** Highest ratio of tail latency to target among the serving tasks. */
    private static double worstTailRatio(WorkerState worker) {
        double worst = 0;
        for (TaskRun r : worker.runs()) {
            long target = r.task().spec().mode().latencyObjectiveMs();
            if (target > 0 && r.isReady()) {
                worst = Math.max(worst, (double) r.tailLatencyMs() / target);
            }
        }
        return worst;
    }
}
