package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Describes what delays the reboot of a VM, for the log. */
final class WaveReport {
    /** Most standing tasks to describe for each VM. */
    private static final int MAX_TASKS = 2;

    private final Scheduler mScheduler;
    private final long mNowMs;

    WaveReport(Scheduler scheduler, long nowMs) {
        mScheduler = scheduler;
        mNowMs = nowMs;
    }

    /** Describes the VM's phase, runs and planned action, and what its standing tasks wait for. */
    String describe(ManagedVm vm) {
        Optional<WorkerState> worker = mScheduler.worker(vm.info().worker());
        StringBuilder text = new StringBuilder(vm.id()).append(' ').append(vm.info().phase());
        text.append(worker.map(w -> ", " + w.runs().size() + " runs").orElse(", no worker"));
        text.append(vm.planned().map(p -> ", " + p + plannedAge(vm)).orElse(", not selected"));
        worker.ifPresent(w -> describeStanding(w).forEach(t -> text.append(", ").append(t)));
        return text.toString();
    }

    private String plannedAge(ManagedVm vm) {
        return " for " + (mNowMs - vm.plannedMs()) + " ms";
    }

    private List<String> describeStanding(WorkerState worker) {
        List<String> tasks = new ArrayList<>();
        for (TaskRun r : worker.runs()) {
            if (r.task().spec().mode().standing() && tasks.size() < MAX_TASKS) {
                tasks.add(describe(r));
            }
        }
        return tasks;
    }

    private String describe(TaskRun run) {
        ActiveTask task = run.task();
        int admitting = 0;
        int withRoom = 0;
        for (WorkerState w : mScheduler.workersOf(task.service())) {
            admitting += w.isUsable(mNowMs) && WorkerChooser.mayRun(task, w) ? 1 : 0;
            withRoom += WorkerChooser.canTakeOver(task, w, mNowMs) ? 1 : 0;
        }
        return String.format(
                "%s %s (%d unavailable of %d allowed, %d workers admit it, %d have room)",
                task.name(),
                run.phase(),
                task.step().unavailableTasks(),
                task.spec().mode().maxUnavailable(),
                admitting,
                withRoom);
    }
}
