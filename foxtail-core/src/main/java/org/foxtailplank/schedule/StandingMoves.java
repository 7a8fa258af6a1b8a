package org.foxtailplank.schedule;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The moves of standing tasks that a wave still needs, by step.
 *
 * <p>Of a step only so many tasks may be away at a time, so that its moves follow each other
 * however many VMs they are on. A step whose moves take about all the time that is left is
 * pressing: its VMs are chosen before others, and only as many at a time as keep its moves going.
 */
final class StandingMoves {
    /** Time until a standing task that was taken away is at work elsewhere, in milliseconds. */
    private static final long MOVE_MS = 2000;

    private final Scheduler mScheduler;
    private final Map<ActiveStep, Step> mSteps = new LinkedHashMap<>();
    private int mMostOnOneVm;

    /** What the wave's VMs have of one step. */
    private static final class Step {
        final int mAtOnce;
        int mTasks;
        int mReady;

        Step(int atOnce) {
            mAtOnce = atOnce;
        }

        long neededMs() {
            return (mTasks + mAtOnce - 1) / mAtOnce * MOVE_MS;
        }
    }

    /**
     * The moves for some VMs.
     *
     * @param left VMs that have not begun their reboot
     */
    StandingMoves(List<VmState> left, Scheduler scheduler) {
        mScheduler = scheduler;
        for (VmState v : left) {
            Map<ActiveStep, Integer> tasks = tasks(v);
            tasks.forEach((step, count) -> step(step).mTasks += count);
            mMostOnOneVm = Math.max(mMostOnOneVm, tasks.values().stream().mapToInt(n -> n).sum());
            if (v.planned().isPresent()) {
                chosen(v);
            }
        }
    }

    private Step step(ActiveStep step) {
        int atOnce = Math.max(1, step.spec().mode().mayMiss());
        return mSteps.computeIfAbsent(step, s -> new Step(atOnce));
    }

    private Map<ActiveStep, Integer> tasks(VmState vm) {
        Map<ActiveStep, Integer> tasks = new LinkedHashMap<>();
        worker(vm).ifPresent(w -> w.countStanding(tasks));
        return tasks;
    }

    private Optional<WorkerState> worker(VmState vm) {
        return mScheduler.worker(vm.info().worker());
    }

    /** A VM was chosen: its tasks move as soon as their steps can miss them. */
    void chosen(VmState vm) {
        worker(vm)
                .ifPresent(
                        w -> {
                            for (TaskRun r : w.runs()) {
                                boolean standing = r.slot().spec().mode().standing();
                                if (standing && r.phase() != RunPhase.STOPPING) {
                                    step(r.slot().step()).mReady++;
                                }
                            }
                        });
    }

    /** Time that the moves take at least, in milliseconds: those of one VM or step are in line. */
    long neededMs() {
        long slowest = mSteps.values().stream().mapToLong(Step::neededMs).max().orElse(0);
        return Math.max(slowest, mMostOnOneVm * MOVE_MS);
    }

    /** How many tasks have to move of each step whose moves take more than a time. */
    Map<ActiveStep, Integer> pressing(long timeMs) {
        Map<ActiveStep, Integer> pressing = new LinkedHashMap<>();
        mSteps.forEach(
                (step, s) -> {
                    if (isPressing(s, timeMs)) {
                        pressing.put(step, s.mTasks);
                    }
                });
        return pressing;
    }

    /** Whether a VM has a task of a step whose moves take more than a time, in milliseconds. */
    boolean isPressing(VmState vm, long timeMs) {
        return tasks(vm).keySet().stream().anyMatch(s -> isPressing(step(s), timeMs));
    }

    /** Whether such a step has too few tasks on chosen VMs to go on with. */
    boolean isWanted(VmState vm, long timeMs) {
        return tasks(vm).keySet().stream()
                .map(this::step)
                .anyMatch(s -> isPressing(s, timeMs) && s.mReady < s.mAtOnce);
    }

    private static boolean isPressing(Step step, long timeMs) {
        return step.mTasks > step.mAtOnce && step.neededMs() > timeMs;
    }
}
