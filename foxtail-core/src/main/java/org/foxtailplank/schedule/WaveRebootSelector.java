package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.MaintenanceWave;
import org.foxtailplank.port.VmClient.VmPhase;

/**
 * Selects the VMs of maintenance waves to reboot next.
 *
 * <p>VMs that are off come first, then idle ones, then those with the fewest standing tasks and the
 * least load. While there is time to spare, only idle VMs are selected, after the pools have got
 * theirs. VMs of time-critical steps, whose standing tasks need about all the remaining time to
 * move one after the other, come before all others. No more VMs are selected than the wave allows
 * to be down at a time, so that none is evacuated long before its reboot.
 */
final class WaveRebootSelector {
    /** Time to evacuate and reboot one batch of VMs, in milliseconds. */
    private static final long ROUND_MS = 5000;

    /** With this much time to spare only idle VMs are rebooted, in milliseconds. */
    private static final long AMPLE_TIME_MS = 7000;

    /** Reboots held back while VMs of time-critical steps wait for their turn. */
    private static final int RESERVED_REBOOTS = 1;

    /** Upper bound on the cost of a VM that is off or idle. */
    private static final double IDLE_COST = 0.02;

    private final Map<ActiveStep, Integer> mCriticalMoves = new LinkedHashMap<>();
    private final List<IdleCandidates> mIdleCandidates = new ArrayList<>();

    /** VMs of a wave with time to spare, those to reboot first at the beginning. */
    private record IdleCandidates(List<ManagedVm> vms, PlannedVmAction reboot, int budget) {}

    /** Starts a new decision on all waves. */
    void reset(Scheduler scheduler) {
        mCriticalMoves.clear();
        mIdleCandidates.clear();
        scheduler.workers().forEach(w -> w.setRebootDue(false));
    }

    /** Number of tasks that have to move, for each time-critical step. */
    Map<ActiveStep, Integer> criticalMoves() {
        return mCriticalMoves;
    }

    /** Plans reboots of a wave; returns whether all of its VMs have begun theirs. */
    boolean advance(
            DueWave due,
            Set<String> rebooted,
            ManagedVms vms,
            Scheduler scheduler,
            FleetConfig config,
            long nowMs) {
        MaintenanceWave wave = due.wave();
        List<ManagedVm> remaining = new ArrayList<>();
        int down = 0;
        int planned = 0;
        boolean maybeUnlisted = false;
        for (String id : wave.vms()) {
            Optional<ManagedVm> vm = vms.vm(id);
            if (vm.isEmpty()) {
                // The VM may be the one with the unreadable entry, so it may still lack its reboot.
                maybeUnlisted |= !vms.isComplete() && !rebooted.contains(id);
                continue;
            }
            ManagedVm v = vm.get();
            // Only reboots count: a VM that was rebooted may be moving or down for other reasons.
            down += v.info().phase() == VmPhase.REBOOTING ? 1 : 0;
            if (rebooted.contains(id)) {
                continue;
            }
            remaining.add(v);
            scheduler.worker(v.info().worker()).ifPresent(w -> w.setRebootDue(true));
            planned += v.planned().isPresent() ? 1 : 0;
        }
        int budget = wave.maxConcurrent() - down - planned;
        List<ManagedVm> candidates = new ArrayList<>(remaining);
        candidates.removeIf(v -> !v.isFree() || isHalfOfPoolDown(v, vms, scheduler));
        candidates.sort(Comparator.comparingDouble(v -> cost(v, scheduler, config)));
        long rounds = (remaining.size() + wave.maxConcurrent() - 1) / wave.maxConcurrent();
        StandingMoves moves = new StandingMoves(remaining, scheduler);
        long neededMs = rounds * ROUND_MS + moves.minDurationMs();
        long leftMs = due.dueMs() - nowMs;
        boolean hasAmpleTime = leftMs - neededMs > AMPLE_TIME_MS;
        PlannedVmAction reboot = new PlannedVmAction.Reboot(wave.number());
        long criticalMs = leftMs - ROUND_MS - AMPLE_TIME_MS;
        moves.criticalSteps(criticalMs).forEach((s, n) -> mCriticalMoves.merge(s, n, Integer::sum));
        for (ManagedVm v : candidates) {
            if (budget > 0 && moves.isNeededNow(v, criticalMs)) {
                v.plan(reboot, nowMs);
                moves.recordChosen(v);
                budget--;
            }
        }
        candidates.removeIf(v -> !v.isFree());
        // The other VMs of time-critical steps follow as the moves before theirs complete.
        if (candidates.removeIf(v -> moves.isCritical(v, criticalMs))) {
            budget -= RESERVED_REBOOTS;
        }
        if (hasAmpleTime) {
            candidates.removeIf(v -> cost(v, scheduler, config) >= IDLE_COST);
            mIdleCandidates.add(new IdleCandidates(candidates, reboot, budget));
        } else {
            candidates.stream().limit(Math.max(0, budget)).forEach(v -> v.plan(reboot, nowMs));
        }
        return remaining.isEmpty() && !maybeUnlisted;
    }

    /**
     * Plans reboots of idle VMs for the waves with time to spare. Before the pools have got the VMs
     * that they lack, it would take those that a turn needs at once.
     */
    void rebootIdleVms(long nowMs) {
        for (IdleCandidates idle : mIdleCandidates) {
            idle.vms().stream()
                    .filter(ManagedVm::isFree)
                    .limit(Math.max(0, idle.budget()))
                    .forEach(v -> v.plan(idle.reboot(), nowMs));
        }
    }

    /** Whether the VM has a worker and half of its pool is being rebooted or evacuated for it. */
    private static boolean isHalfOfPoolDown(ManagedVm vm, ManagedVms vms, Scheduler scheduler) {
        int total = 0;
        int down = 0;
        for (ManagedVm v : vms.all()) {
            if (v.info().pool().equals(vm.info().pool())) {
                total++;
                down += v.isRebooting() ? 1 : 0;
            }
        }
        boolean hasWorker = scheduler.worker(vm.info().worker()).isPresent();
        return hasWorker && 2 * down >= total;
    }

    private static double cost(ManagedVm vm, Scheduler scheduler, FleetConfig config) {
        if (config.isStandby(vm.info().pool())) {
            return -1;
        }
        Optional<WorkerState> worker = scheduler.worker(vm.info().worker());
        if (worker.isEmpty()) {
            return 0;
        }
        return worker.get().standingRuns() + usedShare(worker.get());
    }

    /** Used share of a worker's cores; 1 if they are unknown and something runs there. */
    private static double usedShare(WorkerState worker) {
        double used = worker.used().milliProcessors();
        boolean isKnown = worker.registration().isKnown();
        double cores = isKnown ? worker.registration().capacity().milliProcessors() : used;
        return used / Math.max(1, cores);
    }
}
