package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Says what keeps a VM from its reboot, for the log. */
final class WaveReport {
    /** Standing tasks of a VM that are named; the others wait for them. */
    private static final int MOST_TASKS = 2;

    private final Scheduler mScheduler;
    private final long mNowMs;

    WaveReport(Scheduler scheduler, long nowMs) {
        mScheduler = scheduler;
        mNowMs = nowMs;
    }

    /** One VM: its phase, what runs there, what is planned, and what its tasks wait for. */
    String describe(VmState vm) {
        Optional<WorkerState> worker = mScheduler.worker(vm.info().worker());
        StringBuilder text = new StringBuilder(vm.id()).append(' ').append(vm.info().phase());
        text.append(worker.map(w -> ", " + w.runs().size() + " runs").orElse(", no worker"));
        text.append(vm.planned().map(p -> ", " + p + sinceMs(vm)).orElse(", not chosen"));
        worker.ifPresent(w -> standing(w).forEach(t -> text.append(", ").append(t)));
        return text.toString();
    }

    private String sinceMs(VmState vm) {
        return " for " + (mNowMs - vm.plannedMs()) + " ms";
    }

    private List<String> standing(WorkerState worker) {
        List<String> tasks = new ArrayList<>();
        for (TaskRun r : worker.runs()) {
            if (r.slot().spec().mode().standing() && tasks.size() < MOST_TASKS) {
                tasks.add(describe(r));
            }
        }
        return tasks;
    }

    private String describe(TaskRun run) {
        TaskSlot slot = run.slot();
        int admitting = 0;
        int withRoom = 0;
        for (WorkerState w : mScheduler.workersOf(run.worker().info().service())) {
            admitting += w.isUsable(mNowMs) && WorkerChooser.mayRun(slot, w) ? 1 : 0;
            withRoom += WorkerChooser.isAllowed(slot, w, mNowMs) ? 1 : 0;
        }
        return String.format(
                "%s %s (%d away of %d, %d workers admit it, %d have room)",
                slot.name(),
                run.phase(),
                slot.step().away(),
                slot.spec().mode().mayMiss(),
                admitting,
                withRoom);
    }
}
