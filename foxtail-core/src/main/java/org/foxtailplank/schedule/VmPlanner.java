package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.job.JobBook;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.VmActions.VmInfo;
import org.foxtailplank.port.VmActions.VmOutcome;
import org.foxtailplank.port.WaveOrder;

/** Decides which VMs are rebooted and moved, and empties their workers first. */
public final class VmPlanner {
    /** A worker may be in the directory this much before its VM is listed with it. */
    private static final long JOINING_MS = 2000;

    private final Scheduler mScheduler;
    private final VmTable mVms = new VmTable();
    private final WaveKeeper mWaves = new WaveKeeper();
    private final PoolBalance mBalance;
    private final StandingPlaces mPlaces;
    private final Map<String, Long> mActedMs = new HashMap<>();
    private final Map<Long, Set<String>> mRebooted = new HashMap<>();
    private final Set<Long> mReported = new HashSet<>();
    private final Set<String> mSeenLives = new HashSet<>();

    /** A planner for the VMs whose workers a scheduler knows. */
    public VmPlanner(Scheduler scheduler) {
        mScheduler = scheduler;
        mBalance = new PoolBalance(scheduler, mVms);
        mPlaces = new StandingPlaces(scheduler);
    }

    /**
     * What is to be done about VMs now.
     *
     * @param actions calls to the platform
     * @param completed waves that are completed and not yet reported so
     */
    public record VmDecisions(List<Call> actions, List<Long> completed) {
        public VmDecisions {
            actions = List.copyOf(actions);
            completed = List.copyOf(completed);
        }
    }

    /** A call to the platform. */
    public record Call(VmState vm, VmAction action) {}

    /**
     * Lives of workers that are over: a complete list of VMs that was asked for well after a worker
     * was first seen names each VM's life. A worker that crashed shows so here at once, while its
     * lease would have to be waited for. One that has answered since the list was asked for is
     * alive: the list is read in pages, between which a VM may have gone from one to the other.
     * Where an entry of the list can't be read, a life is over only if the VM that had it is listed
     * with another one.
     */
    public List<WorkerState> overLives(List<VmInfo> vms, long askedMs) {
        ListedLives listed = new ListedLives(vms);
        Set<String> replaced = mVms.replacedLives(vms);
        List<WorkerState> over = new ArrayList<>();
        for (WorkerState w : mScheduler.workers()) {
            boolean old = mSeenLives.contains(w.id()) || w.firstSeenMs() + JOINING_MS < askedMs;
            boolean gone = listed.isOver(w.id()) || replaced.contains(w.id());
            if (old && gone && !w.hasAnsweredSince(askedMs)) {
                over.add(w);
            }
        }
        if (listed.isComplete()) {
            mSeenLives.clear();
        }
        mSeenLives.addAll(listed.lives());
        return over;
    }

    /** A list of all VMs, asked for at {@code askedMs}. */
    public void listed(List<VmInfo> vms, long askedMs) {
        mVms.listed(vms, askedMs, mActedMs);
    }

    /** What the platform said to a call. */
    public void answered(Call call, VmOutcome outcome, long nowMs) {
        mActedMs.put(call.vm().id(), nowMs);
        VmTable.answered(call.vm(), call.action(), outcome, nowMs);
        if (outcome == VmOutcome.DONE && call.action() instanceof VmAction.Reboot reboot) {
            mRebooted.computeIfAbsent(reboot.wave(), w -> new HashSet<>()).add(call.vm().id());
        }
        if (call.vm().planned().isEmpty()) {
            worker(call.vm()).ifPresent(w -> w.vacating(false));
        }
    }

    /**
     * What to do now.
     *
     * @param mayCall whether the platform may be called; if not, VMs are chosen and emptied only
     */
    public VmDecisions decide(
            FleetConfig config,
            Collection<DueWave> waves,
            JobBook book,
            boolean mayCall,
            long nowMs,
            long nowWallMs) {
        List<Long> completed = new ArrayList<>();
        mWaves.begin();
        for (DueWave due : waves) {
            WaveOrder wave = due.order();
            if (mVms.all().isEmpty() || book.isCompleted(wave.number())) {
                continue;
            }
            boolean done =
                    mWaves.advance(due, rebooted(wave, book), mVms, mScheduler, config, nowMs);
            if (done && mReported.add(wave.number())) {
                completed.add(wave.number());
            }
        }
        mPlaces.keep(mVms.all(), nowMs);
        mBalance.plan(config, mWaves.toMove(), nowMs, nowWallMs);
        return new VmDecisions(carryOut(config, mayCall, nowMs, nowWallMs), completed);
    }

    /** VMs of a wave that have not begun their reboot, and what keeps each, for the log. */
    public List<String> left(WaveOrder wave, JobBook book, long nowMs) {
        WaveReport report = new WaveReport(mScheduler, nowMs);
        Set<String> rebooted = rebooted(wave, book);
        List<String> left = new ArrayList<>();
        for (String id : wave.vms()) {
            Optional<VmState> vm = mVms.vm(id);
            if (vm.isPresent() && !rebooted.contains(id)) {
                left.add(report.describe(vm.get()));
            }
        }
        return left;
    }

    /** VMs of a wave that have begun their reboot, whether the journal has it already or not. */
    private Set<String> rebooted(WaveOrder wave, JobBook book) {
        Set<String> all = new HashSet<>(book.rebooted(wave.number()));
        all.addAll(mRebooted.getOrDefault(wave.number(), Set.of()));
        return all;
    }

    /** A report of a completed wave was not stored; it is due again. */
    public void notReported(long wave) {
        mReported.remove(wave);
    }

    private List<Call> carryOut(FleetConfig config, boolean mayCall, long nowMs, long nowWallMs) {
        List<Call> calls = new ArrayList<>();
        for (VmState vm : mVms.all()) {
            if (vm.planned().isEmpty() || vm.isCalling()) {
                continue;
            }
            Optional<WorkerState> worker = worker(vm);
            worker.ifPresent(w -> vacate(vm, w, config, nowMs, nowWallMs));
            boolean standby = config.isStandby(vm.info().pool());
            boolean empty = worker.isPresent() && worker.get().isEmpty();
            if (mayCall && (empty || standby && worker.isEmpty())) {
                vm.calling(true);
                calls.add(new Call(vm, vm.planned().get()));
            }
        }
        return calls;
    }

    private void vacate(
            VmState vm, WorkerState worker, FleetConfig config, long nowMs, long nowWallMs) {
        worker.vacating(true);
        List<WorkerState> others = mScheduler.workersOf(worker.info().service());
        if (vm.planned().get() instanceof VmAction.Reboot) {
            Vacating.step(worker, others, vm.plannedMs(), nowMs);
        } else if (!config.isStandby(((VmAction.Move) vm.planned().get()).pool())) {
            Vacating.lend(worker, nowMs, nowWallMs);
        }
    }

    private Optional<WorkerState> worker(VmState vm) {
        return mScheduler.worker(vm.info().worker());
    }
}
