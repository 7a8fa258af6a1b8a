package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
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
 * work wait for a quiet moment. VMs whose standing tasks can only move one after the other, for
 * about all the time that is left, go before all others. No more are chosen at a time than the wave
 * allows to be down, so that a VM is never emptied long before its turn.
 */
final class WaveKeeper {
    /** Time that one round of a wave takes, in milliseconds: to empty VMs and to reboot them. */
    private static final long ROUND_MS = 5000;

    /** With this much time to spare only VMs on which nothing runs are taken, in milliseconds. */
    private static final long AMPLE_MS = 7000;

    /** VMs fewer that are chosen while others wait for standing tasks that move before theirs. */
    private static final int KEPT_ROOM = 1;

    /** Cost of a VM that is off or idle. */
    private static final double NO_COST = 0.02;

    private final Map<ActiveStep, Integer> mToMove = new LinkedHashMap<>();

    /** Begins a decision on all waves. */
    void begin() {
        mToMove.clear();
    }

    /** How many tasks have to move of each step that holds a wave up. */
    Map<ActiveStep, Integer> toMove() {
        return mToMove;
    }

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
        List<VmState> free = new ArrayList<>(left);
        free.removeIf(v -> !v.isFree() || isMissed(v, vms, scheduler));
        free.sort(Comparator.comparingDouble(v -> cost(v, scheduler, config)));
        long rounds = (left.size() + wave.atOnce() - 1) / wave.atOnce();
        StandingMoves moves = new StandingMoves(left, scheduler);
        long needed = rounds * ROUND_MS + moves.neededMs();
        long timeMs = due.dueMs() - nowMs;
        boolean ample = timeMs - needed > AMPLE_MS;
        VmAction reboot = new VmAction.Reboot(wave.number());
        long pressingMs = timeMs - ROUND_MS - AMPLE_MS;
        moves.pressing(pressingMs).forEach((s, n) -> mToMove.merge(s, n, Integer::sum));
        for (VmState v : free) {
            if (room > 0 && moves.isWanted(v, pressingMs)) {
                v.plan(reboot, nowMs);
                moves.chosen(v);
                room--;
            }
        }
        free.removeIf(v -> !v.isFree());
        // The rest of the pressing ones follows as tasks before them have moved.
        if (free.removeIf(v -> moves.isPressing(v, pressingMs))) {
            room -= KEPT_ROOM;
        }
        free.stream()
                .filter(v -> !ample || cost(v, scheduler, config) < NO_COST)
                .limit(Math.max(0, room))
                .forEach(v -> v.plan(reboot, nowMs));
        return left.isEmpty() && !unseen;
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
