package org.foxtailplank.controller.internal.place;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.foxtailplank.controller.internal.plan.LiveTasks;
import org.foxtailplank.fleet.Explanation;
import org.foxtailplank.fleet.PlacementAction;
import org.foxtailplank.fleet.PlacementDecision;
import org.foxtailplank.fleet.PlacementSettings;
import org.foxtailplank.fleet.Placer;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.fleet.TaskId;
import org.foxtailplank.fleet.Worker;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.platform.TaskReport;
import org.foxtailplank.platform.WorkerList;
import org.foxtailplank.platform.WorkerReport;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.settings.VmSettings;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.JobState;
import org.foxtailplank.state.TaskAction;
import org.foxtailplank.state.TaskConfirmed;
import org.foxtailplank.state.TaskOutcome;
import org.foxtailplank.state.TaskState;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.VmState;

/**
 * Feeds a placer with the state and the workers' reports, and turns its decisions into a plan.
 *
 * <p>It lives for one epoch and is used only on the thread that owns the state. Everything it knows
 * can be rebuilt from the log and the workers.
 */
final class PlacementPlanner {
    private static final int RENEWALS_PER_LEASE = 3;

    private final Supplier<Settings> mSettings;
    private final long mRenewalIntervalMs;
    private final Placer mPlacer;
    private final Map<VmId, Worker> mWorkers = new HashMap<>();
    private final Map<JobId, Long> mJobVersions = new HashMap<>();
    private final Map<TeamId, Double> mQuotas = new HashMap<>();
    private final Map<TaskId, Long> mLastRenewalMs = new HashMap<>();
    private final Set<TaskId> mCheckpointRequested = new HashSet<>();

    PlacementPlanner(Supplier<Settings> settings, PlacementSettings policy) {
        mSettings = settings;
        mRenewalIntervalMs = policy.lease().dividedBy(RENEWALS_PER_LEASE).toMillis();
        mPlacer = Placer.indexed(policy);
    }

    /** Applies the state and the latest reports, and returns the actions that are due. */
    PlacementSnapshot.Plan plan(FleetView view, Optional<WorkerList> reports, long nowMs) {
        synchronize(view, nowMs);
        reports.ifPresent(list -> list.workers().forEach(w -> report(w, list, nowMs)));
        PlacementDecision decision = mPlacer.decide(nowMs);
        List<TaskCommand> commands = new ArrayList<>();
        for (PlacementAction action : decision.actions()) {
            view.job(action.task().job()).ifPresent(job -> commands.add(command(action, job)));
        }
        commands.addAll(checkpoints(view));
        List<TaskConfirmed> confirmations =
                reports.map(list -> newOutcomes(view, list)).orElseGet(ArrayList::new);
        for (PlacementDecision.LapsedTask lapsed : decision.lapsed()) {
            confirmations.add(
                    confirmed(lapsed.task(), lapsed.worker(), lapsed.attempt(), TaskOutcome.LOST));
        }
        return new PlacementSnapshot.Plan(decision, commands, confirmations, renewals(view, nowMs));
    }

    /** Notes that a worker has renewed a lease. */
    void leaseRenewed(TaskId task, long nowMs) {
        mPlacer.renewLease(task, nowMs);
    }

    /** Updates the placer with the state without deciding. */
    void synchronize(FleetView view, long nowMs) {
        Map<TeamId, Double> quotas = new HashMap<>();
        mSettings
                .get()
                .teams()
                .forEach((id, t) -> quotas.put(id, view.teamQuota(id).orElse(t.quota())));
        if (!quotas.equals(mQuotas)) {
            mQuotas.putAll(quotas);
            mPlacer.setQuotas(quotas);
        }
        view.vms().forEach(vm -> synchronize(vm, nowMs));
        mWorkers.keySet().removeIf(id -> removeIfGone(view, id, nowMs));
        for (JobState job : view.jobs()) {
            Long known = mJobVersions.put(job.id(), job.version());
            if (known == null || known != job.version()) {
                mPlacer.updateJob(job, nowMs);
            }
        }
        mJobVersions.keySet().removeIf(id -> view.job(id).isEmpty());
    }

    Optional<Explanation> explain(JobId job, long nowMs) {
        return mPlacer.explain(job, nowMs);
    }

    Optional<Explanation> explain(VmId worker, long nowMs) {
        return mPlacer.explain(worker, nowMs);
    }

    private void synchronize(VmState vm, long nowMs) {
        VmSettings size = mSettings.get().vms().get(vm.id());
        if (size == null) {
            return;
        }
        boolean open =
                vm.phase() == VmPhase.SERVING && vm.pending().isEmpty() && vm.joining().isEmpty();
        Resources capacity =
                Resources.of(size.processors(), size.memoryBytes(), size.accelerators());
        Worker worker = new Worker(vm.id(), vm.pool(), vm.rack(), capacity, open);
        if (!worker.equals(mWorkers.put(vm.id(), worker))) {
            mPlacer.updateWorker(worker, nowMs);
        }
    }

    private boolean removeIfGone(FleetView view, VmId id, long nowMs) {
        boolean gone = view.vm(id).isEmpty();
        if (gone) {
            mPlacer.removeWorker(id, nowMs);
        }
        return gone;
    }

    private void report(WorkerReport worker, WorkerList list, long nowMs) {
        List<org.foxtailplank.fleet.WorkerReport.Running> running = new ArrayList<>();
        for (TaskReport task : worker.tasks()) {
            if (isLive(task)) {
                running.add(
                        new org.foxtailplank.fleet.WorkerReport.Running(
                                taskId(task), task.attempt(), usedResources(task)));
            }
        }
        mPlacer.applyReport(
                new org.foxtailplank.fleet.WorkerReport(
                        worker.id(), list.asOf().toEpochMilli(), running),
                nowMs);
    }

    private static boolean isLive(TaskReport task) {
        return task.status() == TaskReport.Status.STARTING
                || task.status() == TaskReport.Status.RUNNING;
    }

    private static TaskId taskId(TaskReport report) {
        return new TaskId(report.task().job(), report.task().index());
    }

    private static Resources usedResources(TaskReport task) {
        return new Resources(
                Math.round(task.processors() * Duration.ofSeconds(1).toMillis()),
                task.memoryBytes(),
                0);
    }

    /** Returns the task outcomes that workers report and the log does not contain yet. */
    private static List<TaskConfirmed> newOutcomes(FleetView view, WorkerList list) {
        List<TaskConfirmed> outcomes = new ArrayList<>();
        for (WorkerReport worker : list.workers()) {
            for (TaskReport report : worker.tasks()) {
                TaskId id = taskId(report);
                outcome(report)
                        .filter(o -> isNewOutcome(view, worker.id(), report, o))
                        .map(o -> confirmed(id, worker.id(), report.attempt(), o))
                        .ifPresent(outcomes::add);
            }
        }
        return outcomes;
    }

    private static boolean isNewOutcome(
            FleetView view, VmId worker, TaskReport report, TaskOutcome outcome) {
        return task(view, taskId(report))
                .filter(t -> t.worker().equals(worker) && t.attempt() == report.attempt())
                .filter(t -> t.outcome().map(o -> !o.isEnded() && o != outcome).orElse(true))
                .isPresent();
    }

    private static Optional<TaskOutcome> outcome(TaskReport report) {
        return switch (report.status()) {
            case STARTING -> Optional.empty();
            case RUNNING -> Optional.of(TaskOutcome.RUNNING);
            case SUCCEEDED -> Optional.of(TaskOutcome.SUCCEEDED);
            case FAILED -> Optional.of(TaskOutcome.FAILED);
            case STOPPED -> Optional.of(TaskOutcome.STOPPED);
            case LOST -> Optional.of(TaskOutcome.LOST);
        };
    }

    private static TaskConfirmed confirmed(
            TaskId task, VmId worker, long attempt, TaskOutcome outcome) {
        return new TaskConfirmed(task.job(), task.index(), worker, attempt, outcome);
    }

    private static Optional<TaskState> task(FleetView view, TaskId id) {
        return view.job(id.job()).map(job -> job.tasks().get(id.index()));
    }

    /** Returns checkpoint commands for tasks on VMs that are about to stop. */
    private List<TaskCommand> checkpoints(FleetView view) {
        List<TaskCommand> commands = new ArrayList<>();
        Set<TaskId> affected = new HashSet<>();
        for (JobState job : view.jobs()) {
            job.tasks()
                    .forEach(
                            (index, task) -> {
                                TaskId id = new TaskId(job.id(), index);
                                if (!mustMove(view, task)) {
                                    return;
                                }
                                affected.add(id);
                                if (mCheckpointRequested.add(id)) {
                                    commands.add(checkpoint(id, task, job));
                                }
                            });
        }
        mCheckpointRequested.retainAll(affected);
        return commands;
    }

    private static boolean mustMove(FleetView view, TaskState task) {
        return LiveTasks.isLive(task)
                && view.vm(task.worker())
                        .filter(
                                vm ->
                                        vm.phase() == VmPhase.STOPPING
                                                || vm.phase() == VmPhase.RELEASING)
                        .isPresent();
    }

    private static TaskCommand checkpoint(TaskId id, TaskState task, JobState job) {
        return command(
                new PlacementAction(
                        id,
                        task.worker(),
                        TaskAction.CHECKPOINT,
                        task.attempt(),
                        task.action() == TaskAction.CHECKPOINT,
                        "its worker is to stop"),
                job);
    }

    private static TaskCommand command(PlacementAction action, JobState job) {
        boolean ran =
                Optional.ofNullable(job.tasks().get(action.task().index()))
                        .filter(t -> t.attempt() == action.attempt())
                        .flatMap(TaskState::outcome)
                        .filter(o -> o == TaskOutcome.RUNNING)
                        .isPresent();
        return new TaskCommand(action, job.spec(), ran);
    }

    private List<LeaseRenewal> renewals(FleetView view, long nowMs) {
        List<LeaseRenewal> due = new ArrayList<>();
        Set<TaskId> live = new HashSet<>();
        for (JobState job : view.jobs()) {
            job.tasks()
                    .forEach(
                            (index, task) -> {
                                TaskId id = new TaskId(job.id(), index);
                                if (!LiveTasks.isLive(task)) {
                                    return;
                                }
                                live.add(id);
                                long last = mLastRenewalMs.computeIfAbsent(id, t -> nowMs);
                                if (nowMs - last >= mRenewalIntervalMs) {
                                    mLastRenewalMs.put(id, nowMs);
                                    due.add(new LeaseRenewal(id, task.worker(), task.attempt()));
                                }
                            });
        }
        mLastRenewalMs.keySet().retainAll(live);
        return due;
    }
}
