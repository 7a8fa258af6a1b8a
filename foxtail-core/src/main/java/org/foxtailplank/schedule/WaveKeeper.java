package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.VmActions.VmPhase;
import org.foxtailplank.port.WaveOrder;

/**
 * Chooses the VMs of maintenance waves that are rebooted next.
 *
 * <p>VMs that are off go first, then idle ones, then those with the fewest standing tasks: each
 * reboot costs as little running work as there is a choice; while there is time to spare, VMs with
 * work wait for a quiet moment. No more are chosen at a time than the wave allows to be down, so
 * that a VM is never emptied long before its turn.
 */
final class WaveKeeper {
    /** Time that one round of a wave takes, in milliseconds: to empty VMs and to reboot them. */
    private static final long ROUND_MS = 5000;

    /** With this much time to spare only VMs on which nothing runs are taken, in milliseconds. */
    private static final long AMPLE_MS = 7000;

    /** Time until a standing task that was taken away is at work elsewhere, in milliseconds. */
    private static final long STANDING_MS = 2000;

    /** Cost of a VM that is off or idle. */
    private static final double NO_COST = 0.02;

    /** Plans reboots of a wave; returns whether all of its VMs have begun theirs. */
    boolean advance(
            DueWave due,
            Set<String> rebooted,
            VmTable vms,
            Scheduler scheduler,
            FleetConfig config,
            long nowMs) {
        WaveOrder wave = due.order();
        List<VmState> left = new ArrayList<>();
        int down = 0;
        int planned = 0;
        boolean unseen = false;
        for (String id : wave.vms()) {
            Optional<VmState> vm = vms.vm(id);
            if (vm.isEmpty()) {
                // Its entry may be the one that can't be read; it may still lack its reboot.
                unseen |= !vms.isComplete() && !rebooted.contains(id);
                continue;
            }
            VmState v = vm.get();
            // Only reboots count: a VM that has had its own may be moving or down for other causes.
            down += v.info().phase() == VmPhase.REBOOTING ? 1 : 0;
            if (rebooted.contains(id)) {
                continue;
            }
            left.add(v);
            planned += v.planned().isPresent() ? 1 : 0;
        }
        int room = wave.atOnce() - down - planned;
        long rounds = (left.size() + wave.atOnce() - 1) / wave.atOnce();
        long needed = rounds * ROUND_MS + standingMoves(left, scheduler) * STANDING_MS;
        boolean ample = due.dueMs() - nowMs - needed > AMPLE_MS;
        left.stream()
                .filter(VmState::isFree)
                .filter(v -> !isMissed(v, vms, scheduler))
                .filter(v -> !ample || cost(v, scheduler, config) < NO_COST)
                .sorted(Comparator.comparingDouble(v -> cost(v, scheduler, config)))
                .limit(Math.max(0, room))
                .forEach(v -> v.plan(new VmAction.Reboot(wave.number()), nowMs));
        return left.isEmpty() && !unseen;
    }

    /**
     * How many times the wave has to wait for standing tasks that were taken away: those of one VM
     * go one after the other, and of each step no more at a time than it may miss. Guards against a
     * wave that waits for quiet moments as if each VM could be emptied for itself, and is late
     * where the tasks of one step are on many of its VMs.
     */
    private static int standingMoves(List<VmState> vms, Scheduler scheduler) {
        int most = 0;
        Map<ActiveStep, Integer> tasks = new HashMap<>();
        for (VmState v : vms) {
            Optional<WorkerState> worker = scheduler.worker(v.info().worker());
            most = Math.max(most, worker.map(WorkerState::standingRuns).orElse(0));
            worker.ifPresent(w -> w.countStanding(tasks));
        }
        for (Map.Entry<ActiveStep, Integer> e : tasks.entrySet()) {
            int atOnce = Math.max(1, e.getKey().spec().mode().mayMiss());
            most = Math.max(most, (e.getValue() + atOnce - 1) / atOnce);
        }
        return most;
    }

    /** Whether half of the VMs of its pool are already being rebooted or emptied for it. */
    private static boolean isMissed(VmState vm, VmTable vms, Scheduler scheduler) {
        int all = 0;
        int out = 0;
        for (VmState v : vms.all()) {
            if (v.info().pool().equals(vm.info().pool())) {
                all++;
                out += v.isRebooting() ? 1 : 0;
            }
        }
        boolean hasWorker = scheduler.worker(vm.info().worker()).isPresent();
        return hasWorker && 2 * out >= all;
    }

    private static double cost(VmState vm, Scheduler scheduler, FleetConfig config) {
        if (config.isStandby(vm.info().pool())) {
            return -1;
        }
        Optional<WorkerState> worker = scheduler.worker(vm.info().worker());
        if (worker.isEmpty()) {
            return 0;
        }
        int standing = worker.get().standingRuns();
        long used = worker.get().used().milliProcessors();
        long all = Math.max(1, worker.get().info().capacity().milliProcessors());
        return standing + (double) used / all;
    }
}
