package org.foxtailplank.schedule;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The moves of standing tasks that a wave still needs, by step.
 *
 * <p>A step allows only a limited number of unavailable tasks, so its moves are serialized however
 * many VMs they are on. A step whose moves need about all the remaining time is time-critical: its
 * VMs are selected before others, but only as many at a time as keep its moves going.
 */
final class StandingMoves {
    /** Time from stopping a standing task until it is ready elsewhere, in milliseconds. */
    private static final long MOVE_MS = 2000;

    private final Scheduler mScheduler;
    private final Map<ActiveStep, StepMoves> mSteps = new LinkedHashMap<>();
    private int mMaxTasksOnOneVm;

    /** The moves of one step that the wave still needs. */
    private static final class StepMoves {
        final int mMaxConcurrent;
        int mTasks;
        int mChosenTasks;

        StepMoves(int maxConcurrent) {
            mMaxConcurrent = maxConcurrent;
        }

        long minDurationMs() {
            return (mTasks + mMaxConcurrent - 1) / mMaxConcurrent * MOVE_MS;
        }
    }

    /**
     * Counts the moves that some VMs need.
     *
     * @param remaining VMs whose reboot has not begun
     */
    StandingMoves(List<ManagedVm> remaining, Scheduler scheduler) {
        mScheduler = scheduler;
        for (ManagedVm v : remaining) {
            Map<ActiveStep, Integer> tasks = tasks(v);
            tasks.forEach((step, count) -> step(step).mTasks += count);
            mMaxTasksOnOneVm =
                    Math.max(mMaxTasksOnOneVm, tasks.values().stream().mapToInt(n -> n).sum());
            if (v.planned().isPresent()) {
                recordChosen(v);
            }
        }
    }

    private StepMoves step(ActiveStep step) {
        int maxConcurrent = Math.max(1, step.spec().mode().maxUnavailable());
        return mSteps.computeIfAbsent(step, s -> new StepMoves(maxConcurrent));
    }

    private Map<ActiveStep, Integer> tasks(ManagedVm vm) {
        Map<ActiveStep, Integer> tasks = new LinkedHashMap<>();
        worker(vm).ifPresent(w -> w.addStandingCounts(tasks));
        return tasks;
    }

    private Optional<WorkerState> worker(ManagedVm vm) {
        return mScheduler.worker(vm.info().worker());
    }

    /** Records that a VM was selected, so that its tasks move as soon as their budget allows. */
    void recordChosen(ManagedVm vm) {
        worker(vm)
                .ifPresent(
                        w -> {
                            for (TaskRun r : w.runs()) {
                                boolean standing = r.task().spec().mode().standing();
                                if (standing && r.phase() != RunPhase.STOPPING) {
                                    step(r.task().step()).mChosenTasks++;
                                }
                            }
                        });
    }

    /** Minimum time for all moves, in milliseconds; moves of one VM or step are serialized. */
    long minDurationMs() {
        long slowest = mSteps.values().stream().mapToLong(StepMoves::minDurationMs).max().orElse(0);
        return Math.max(slowest, mMaxTasksOnOneVm * MOVE_MS);
    }

    /** Number of tasks to move, for each step whose moves need more than the given time. */
    Map<ActiveStep, Integer> criticalSteps(long timeMs) {
        Map<ActiveStep, Integer> critical = new LinkedHashMap<>();
        mSteps.forEach(
                (step, moves) -> {
                    if (isCritical(moves, timeMs)) {
                        critical.put(step, moves.mTasks);
                    }
                });
        return critical;
    }

    /** Whether a VM has a task of a step whose moves need more than the given time. */
    boolean isCritical(ManagedVm vm, long timeMs) {
        return tasks(vm).keySet().stream().anyMatch(s -> isCritical(step(s), timeMs));
    }

    /** Whether such a step has too few tasks on selected VMs to keep its moves going. */
    boolean isNeededNow(ManagedVm vm, long timeMs) {
        return tasks(vm).keySet().stream()
                .map(this::step)
                .anyMatch(s -> isCritical(s, timeMs) && s.mChosenTasks < s.mMaxConcurrent);
    }

    private static boolean isCritical(StepMoves step, long timeMs) {
        return step.mTasks > step.mMaxConcurrent && step.minDurationMs() > timeMs;
    }
}
