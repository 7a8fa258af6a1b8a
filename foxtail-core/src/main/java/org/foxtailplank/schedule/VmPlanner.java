package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.lease.ClockReading;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.MaintenanceWave;
import org.foxtailplank.port.ServiceConfig;
import org.foxtailplank.port.VmClient.VmInfo;
import org.foxtailplank.port.VmClient.VmOutcome;

/** Decides which VMs are rebooted or moved, and evacuates their workers first. */
public final class VmPlanner {
    /** Maximum time between a worker's entry in the directory and its VM's in the list. */
    private static final long JOIN_LEAD_MS = 2000;

    private final Scheduler mScheduler;
    private final ManagedVms mVms = new ManagedVms();
    private final WaveRebootSelector mWaveSelector = new WaveRebootSelector();
    private final PoolBalancer mPoolBalancer;
    private final StandingTaskReservations mReservations;
    private final JoiningCapacity mJoining;
    private final Map<String, Long> mLastActionMs = new HashMap<>();
    private final Map<Long, Set<String>> mRebooted = new HashMap<>();
    private final Set<Long> mReportedWaves = new HashSet<>();

    /** IDs of the workers' VMs, as last listed, by the IDs of the incarnations. */
    private final Map<String, String> mVmsOfIncarnations = new HashMap<>();

    /** When the last list was requested, for each worker that it was the first in a row to lack. */
    private Map<WorkerState, Long> mMissingSinceMs = Map.of();

    /** Creates a planner for the VMs of a scheduler's workers. */
    public VmPlanner(Scheduler scheduler) {
        mScheduler = scheduler;
        mPoolBalancer = new PoolBalancer(scheduler, mVms);
        mReservations = new StandingTaskReservations(scheduler);
        mJoining = new JoiningCapacity(scheduler, mVms);
    }

    /** Moves VMs to pools before the turns of their queues that a forecast expects. */
    public void setForecast(BurstForecast forecast) {
        mScheduler.arrivals().setForecast(forecast);
        mPoolBalancer.setForecast(forecast);
    }

    /**
     * Lets the forecast, if any, learn from the jobs that the scheduler has inherited as of the
     * times of their acceptance; called once, after all of them have been added.
     *
     * @param completeSinceMs wall time since which all accepted jobs are among them
     * @return number of arrivals that the forecast has learned from
     */
    public int learnInheritedArrivals(ClockReading now, long completeSinceMs) {
        return mScheduler.arrivals().learnInherited(now, completeSinceMs);
    }

    /**
     * Leaves idle VMs in their pools until a time, unless a pool lacks them. A new owner doesn't
     * know the demand of callers that got no answer until they have come back.
     *
     * @param untilMs time on the monotonic clock, in milliseconds
     */
    public void waitForDemand(long untilMs) {
        mPoolBalancer.waitForDemand(untilMs);
    }

    ManagedVms vms() {
        return mVms;
    }

    /**
     * Actions to take on VMs now.
     *
     * @param actions calls to the platform
     * @param completed completed waves that have not been reported
     */
    public record VmDecisions(List<Call> actions, List<Long> completed) {
        public VmDecisions {
            actions = List.copyOf(actions);
            completed = List.copyOf(completed);
        }
    }

    /**
     * A call to the platform.
     *
     * @param worker the worker on the VM when the platform was first called for the action, which
     *     the action ends; with an empty ID for none
     */
    public record Call(ManagedVm vm, PlannedVmAction action, WorkerIncarnation worker) {}

    /**
     * Returns the incarnations of workers that have ended according to a list of VMs. This detects
     * crashed workers without waiting for their leases.
     *
     * <p>An incarnation has ended if its VM is listed with another one or with none, or if two
     * complete lists in a row don't name it: a list is read in pages, between which a VM may be
     * missed. They must have been requested well after the worker was first seen, or after a list
     * that named it. A worker that has answered since is alive.
     */
    public List<WorkerState> endedIncarnations(List<VmInfo> vms, long askedMs) {
        ListedIncarnations listed = new ListedIncarnations(vms);
        Map<WorkerState, Long> missing = new HashMap<>();
        List<WorkerState> ended = new ArrayList<>();
        for (WorkerState w : mScheduler.workers()) {
            Optional<String> vm = Optional.ofNullable(mVmsOfIncarnations.get(w.id()));
            boolean listable = vm.isPresent() || w.firstSeenMs() + JOIN_LEAD_MS < askedMs;
            boolean replaced = vm.isPresent() && listed.isReplaced(w.id(), vm.get());
            long sinceMs = replaced ? askedMs : mMissingSinceMs.getOrDefault(w, askedMs);
            // The next incarnation accepts commands under the same ID.
            boolean mayHaveRestarted =
                    w.runs().stream().anyMatch(r -> r.isStartAnsweredAfter(sinceMs));
            boolean mayLive = w.hasAnsweredSince(sinceMs) || mayHaveRestarted;
            boolean absent = replaced || listed.hasEnded(w.id());
            if (!listable || !absent || mayLive) {
                continue;
            }
            if (replaced || sinceMs < askedMs) {
                ended.add(w);
            } else {
                missing.put(w, askedMs);
            }
        }
        mMissingSinceMs = missing;
        rememberVms(vms, ended);
        return ended;
    }

    private void rememberVms(List<VmInfo> vms, List<WorkerState> ended) {
        mVmsOfIncarnations.keySet().removeIf(id -> mScheduler.worker(id).isEmpty());
        ended.forEach(w -> mVmsOfIncarnations.remove(w.id()));
        for (VmInfo info : vms) {
            if (info.isReadable() && !info.worker().isEmpty()) {
                mVmsOfIncarnations.put(info.worker(), info.id());
            }
        }
    }

    /**
     * Returns the calls that the platform has executed without an answer so far, according to a
     * list of VMs. Calling again would end the plan only once the VM has its next worker.
     */
    public List<Call> executedCalls(List<VmInfo> vms, long askedMs) {
        List<Call> executed = new ArrayList<>();
        for (VmInfo info : vms) {
            mVms.vm(info.id())
                    .filter(v -> v.plannedMs() <= askedMs)
                    .flatMap(v -> v.executedCall(info))
                    .ifPresent(executed::add);
        }
        return executed;
    }

    /** Applies a list of all VMs that was requested at {@code askedMs}. */
    public void applyList(List<VmInfo> vms, long askedMs) {
        mVms.update(vms, askedMs, mLastActionMs);
    }

    /** Applies the platform's answer to a call. */
    public void callAnswered(Call call, VmOutcome outcome, long nowMs) {
        mLastActionMs.put(call.vm().id(), nowMs);
        Optional<WorkerState> worker = worker(call.vm());
        ManagedVms.applyOutcome(call.vm(), call.action(), outcome, nowMs);
        if (outcome == VmOutcome.DONE && call.action() instanceof PlannedVmAction.Reboot reboot) {
            mRebooted.computeIfAbsent(reboot.wave(), w -> new HashSet<>()).add(call.vm().id());
        }
        if (call.vm().planned().isEmpty()) {
            worker.ifPresent(w -> w.setEvacuating(false));
        }
    }

    /**
     * Returns the actions to take now.
     *
     * @param mayCall whether the platform may be called; if not, VMs are only selected and
     *     evacuated
     */
    public VmDecisions decide(
            FleetConfig config,
            Collection<DueWave> waves,
            JobRegistry registry,
            boolean mayCall,
            long nowMs,
            long nowWallMs) {
        List<Long> completed = new ArrayList<>();
        mWaveSelector.reset(mScheduler);
        for (DueWave due : waves) {
            MaintenanceWave wave = due.wave();
            if (mVms.all().isEmpty() || registry.isCompleted(wave.number())) {
                continue;
            }
            boolean done =
                    mWaveSelector.advance(
                            due, rebooted(wave, registry), mVms, mScheduler, config, nowMs);
            if (done && mReportedWaves.add(wave.number())) {
                completed.add(wave.number());
            }
        }
        mReservations.reserve(mVms.all(), nowMs);
        mPoolBalancer.plan(config, mWaveSelector.criticalMoves(), nowMs, nowWallMs);
        if (!mPoolBalancer.mayNeedIdleVms(nowMs)) {
            mWaveSelector.rebootIdleVms(nowMs);
        }
        List<Call> calls = executePlans(config, mayCall, nowMs, nowWallMs);
        reportJoining(config, nowMs, nowWallMs);
        return new VmDecisions(calls, completed);
    }

    /** Lets the scheduler count on the VMs that are moving to the pools. */
    private void reportJoining(FleetConfig config, long nowMs, long nowWallMs) {
        BatchCapacities capacities = mScheduler.batchCapacities(nowWallMs);
        for (ServiceConfig s : config.services()) {
            if (!s.standby()) {
                BatchCapacity capacity = capacities.of(s.name());
                capacities.setJoining(s.name(), mJoining.moving(s.name(), capacity, nowMs));
            }
        }
    }

    /**
     * Describes the VMs of a wave whose reboot has not begun, and what delays each, for the log.
     */
    public List<String> describeRemaining(MaintenanceWave wave, JobRegistry registry, long nowMs) {
        WaveReport report = new WaveReport(mScheduler, nowMs);
        Set<String> rebooted = rebooted(wave, registry);
        List<String> left = new ArrayList<>();
        for (String id : wave.vms()) {
            Optional<ManagedVm> vm = mVms.vm(id);
            if (vm.isPresent() && !rebooted.contains(id)) {
                left.add(report.describe(vm.get()));
            }
        }
        return left;
    }

    /** VMs of a wave whose reboot has begun, including those not yet in the journal. */
    private Set<String> rebooted(MaintenanceWave wave, JobRegistry registry) {
        Set<String> rebooted = new HashSet<>(registry.rebooted(wave.number()));
        rebooted.addAll(mRebooted.getOrDefault(wave.number(), Set.of()));
        return rebooted;
    }

    /** Schedules the report of a completed wave again after it could not be stored. */
    public void retryReport(long wave) {
        mReportedWaves.remove(wave);
    }

    private List<Call> executePlans(
            FleetConfig config, boolean mayCall, long nowMs, long nowWallMs) {
        List<Call> calls = new ArrayList<>();
        for (ManagedVm vm : mVms.all()) {
            if (vm.planned().isEmpty() || vm.isCallPending()) {
                continue;
            }
            Optional<WorkerState> worker = worker(vm);
            worker.ifPresent(w -> evacuate(vm, w, config, nowMs, nowWallMs));
            boolean standby = config.isStandby(vm.info().pool());
            boolean empty = worker.isPresent() && worker.get().isEmpty();
            if (mayCall && (empty || standby && worker.isEmpty())) {
                WorkerIncarnation current =
                        worker.map(WorkerState::incarnation)
                                .orElse(WorkerIncarnation.ofUnknownStart(vm.info().worker()));
                calls.add(new Call(vm, vm.planned().get(), vm.beginCall(current)));
            }
        }
        return calls;
    }

    private void evacuate(
            ManagedVm vm, WorkerState worker, FleetConfig config, long nowMs, long nowWallMs) {
        worker.setEvacuating(true);
        if (!mScheduler.isStoreAvailable()) {
            return;
        }
        List<WorkerState> others = worker.service().map(mScheduler::workersOf).orElse(List.of());
        if (vm.planned().get() instanceof PlannedVmAction.Reboot) {
            WorkerEvacuation.stopRuns(worker, others, vm.plannedMs(), nowMs);
        } else if (!config.isStandby(((PlannedVmAction.Move) vm.planned().get()).pool())) {
            WorkerEvacuation.stopLateRuns(worker, nowMs, nowWallMs);
        }
    }

    private Optional<WorkerState> worker(ManagedVm vm) {
        return mScheduler.worker(vm.info().worker());
    }
}
