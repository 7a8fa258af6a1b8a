package org.foxtailplank.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.foxtailplank.fleet.Explanation;
import org.foxtailplank.fleet.PlacementAction;
import org.foxtailplank.fleet.PlacementDecision;
import org.foxtailplank.fleet.PlacementSettings;
import org.foxtailplank.fleet.Placer;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.fleet.TaskId;
import org.foxtailplank.fleet.Worker;
import org.foxtailplank.fleet.WorkerReport;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.request.RequestClass;
import org.foxtailplank.state.JobState;
import org.foxtailplank.state.TaskAction;
import org.foxtailplank.state.TaskState;

/** A placer that maintains its indexes incrementally. */
public final class IndexedPlacer implements Placer {

    /** Interval at which all pools are considered again, whether or not they changed. */
    private static final long FULL_PASS_INTERVAL_MS = 30_000;

    /** Time after which a running task shows that its worker is healthy. */
    private static final long HEALTHY_RUN_MS = 10_000;

    private final PlacementState mState;
    private final TaskUpdater mUpdater;
    private final TaskMonitor mMonitor;
    private long mNextFullPassMs;

    public IndexedPlacer(PlacementSettings settings) {
        mState = new PlacementState(settings);
        mUpdater = new TaskUpdater(mState);
        mMonitor = new TaskMonitor(mState);
    }

    @Override
    public void setQuotas(Map<TeamId, Double> quotas) {
        quotas.forEach((team, quota) -> mState.team(team).setQuota(quota));
        mState.pools().forEach(this::reconsiderRefused);
    }

    @Override
    public void updateWorker(Worker worker, long nowMs) {
        mState.worker(worker.id())
                .filter(w -> !w.worker().pool().equals(worker.pool()))
                .ifPresent(w -> removeFromPool(w));
        mState.put(worker);
        reconsiderRefused(mState.pool(worker.pool()));
    }

    @Override
    public void removeWorker(VmId worker, long nowMs) {
        mState.worker(worker).ifPresent(this::removeFromPool);
    }

    /** Removes a worker and refuses waiting jobs that no other worker of the pool can run. */
    private void removeFromPool(WorkerEntry worker) {
        PoolId id = worker.worker().pool();
        mState.remove(worker);
        PoolEntry pool = mState.pool(id);
        for (RequestClass c : RequestClass.values()) {
            List<JobEntry> waiting = new ArrayList<>();
            pool.waiting(c).values().forEach(waiting::addAll);
            waiting.forEach(job -> refuseIfInfeasible(job, pool));
        }
    }

    /** Readmits refused jobs that became feasible after a change of the pool or of a quota. */
    private void reconsiderRefused(PoolEntry pool) {
        for (JobEntry job : pool.pollRefused()) {
            boolean failed = !job.failedOn().isEmpty();
            if (failed || FeasibilityCheck.refusal(job, pool).isPresent()) {
                pool.addRefused(job);
            } else {
                job.readmit();
                pool.updateQueue(job);
            }
        }
    }

    private void refuseIfInfeasible(JobEntry job, PoolEntry pool) {
        FeasibilityCheck.refusal(job, pool).ifPresent(why -> mState.refuse(job, why));
    }

    @Override
    public void updateJob(JobState job, long nowMs) {
        JobEntry entry = mState.jobs().get(job.id());
        if (entry == null) {
            entry = new JobEntry(job.id(), job.spec(), mState.team(job.spec().team()));
            mState.jobs().put(job.id(), entry);
        }
        PoolEntry pool = mState.poolOf(entry);
        if (job.cancelled() && !entry.isCancelled()) {
            cancel(entry, nowMs);
        }
        for (Map.Entry<Integer, TaskState> task : new TreeMap<>(job.tasks()).entrySet()) {
            mUpdater.apply(new TaskId(job.id(), task.getKey()), task.getValue(), nowMs);
        }
        if (entry.isWaiting()) {
            refuseIfInfeasible(entry, pool);
        }
        pool.updateQueue(entry);
        if (entry.isFinished() && entry.refused().isEmpty()) {
            mState.jobs().remove(job.id());
        }
    }

    /** Cancels a job; the cost depends only on its placed tasks. */
    private void cancel(JobEntry job, long nowMs) {
        job.cancel();
        for (PlacedTask task : new ArrayList<>(job.placed().values())) {
            boolean neverStarted =
                    task.phase() == TaskPhase.AWAITING_CAPACITY
                            || task.phase() == TaskPhase.PROPOSED;
            if (neverStarted) {
                mState.displace(task);
            } else if (task.lastAction() != TaskAction.STOP) {
                mUpdater.stop(task, nowMs);
            }
        }
    }

    @Override
    public void updateTask(TaskId task, TaskState state, long nowMs) {
        mUpdater.apply(task, state, nowMs);
    }

    @Override
    public void renewLease(TaskId task, long nowMs) {
        placedTask(task).ifPresent(t -> t.recordHeartbeat(nowMs));
    }

    private Optional<PlacedTask> placedTask(TaskId task) {
        return Optional.ofNullable(mState.jobs().get(task.job()))
                .map(j -> j.placed().get(task.index()));
    }

    @Override
    public void applyReport(WorkerReport report, long nowMs) {
        Optional<WorkerEntry> worker = mState.worker(report.worker());
        if (worker.isEmpty()) {
            return;
        }
        Resources used = Resources.NONE;
        for (WorkerReport.Running running : report.tasks()) {
            used = used.plus(running.used());
            applyRunning(worker.get(), running, report.asOfMs());
        }
        worker.get().setMeasured(used);
        if (worker.get().isShortOfMemory()) {
            relieveMemory(worker.get(), nowMs);
        }
    }

    private void applyRunning(WorkerEntry worker, WorkerReport.Running running, long asOfMs) {
        JobEntry job = mState.jobs().get(running.task().job());
        if (job == null) {
            return;
        }
        PlacedTask task = job.placed().get(running.task().index());
        boolean current =
                task != null && task.worker() == worker && task.attempt() == running.attempt();
        if (!current) {
            stopStaleAttempt(job, worker, running);
            return;
        }
        task.recordHeartbeat(asOfMs);
        updateEstimate(task, running.used());
        if (task.phase().runs() && asOfMs - task.phaseSinceMs() >= HEALTHY_RUN_MS) {
            worker.health().recordSuccess();
        }
    }

    /** Updates the usage estimate of a running task; a throttled task uses less than it needs. */
    private void updateEstimate(PlacedTask task, Resources used) {
        if (task.phase() != TaskPhase.RUNNING) {
            return;
        }
        boolean first = !task.job().estimate().isMeasured();
        task.job().estimate().update(used);
        if (first) {
            task.job().team().updateRatio(task.job().estimate().ratio());
        }
        mState.reserve(task, task.requirement());
    }

    /**
     * Stops an attempt that a later one has replaced. Guards against a worker that was paused
     * beyond its lease and resumes its task, so that two workers run it.
     */
    private void stopStaleAttempt(JobEntry job, WorkerEntry worker, WorkerReport.Running running) {
        if (running.attempt() < job.attempt(running.task().index())) {
            mState.outbox()
                    .add(
                            new PlacementAction(
                                    running.task(),
                                    worker.worker().id(),
                                    TaskAction.STOP,
                                    running.attempt(),
                                    true,
                                    "replaced by a later attempt"));
        }
    }

    /**
     * Checkpoints the most recent batch task of a worker that runs out of memory, because memory
     * can't be throttled.
     */
    private void relieveMemory(WorkerEntry worker, long nowMs) {
        boolean relieving = worker.tasks().stream().anyMatch(t -> t.phase() == TaskPhase.LEAVING);
        if (relieving) {
            return;
        }
        worker.tasks().stream()
                .filter(PlacedTask::isPreemptible)
                .max(Comparator.comparingLong(PlacedTask::phaseSinceMs))
                .ifPresent(
                        t -> {
                            t.transitionTo(TaskPhase.LEAVING, TaskAction.CHECKPOINT, nowMs);
                            mState.outbox()
                                    .add(
                                            t,
                                            TaskAction.CHECKPOINT,
                                            false,
                                            "its worker runs out of memory");
                            mState.timers()
                                    .schedule(
                                            nowMs + mState.settings().answerTimeout().toMillis(),
                                            t);
                        });
    }

    @Override
    public PlacementDecision decide(long nowMs) {
        mState.reopenWorkers(nowMs);
        mMonitor.run(nowMs);
        if (nowMs >= mNextFullPassMs) {
            mNextFullPassMs = nowMs + FULL_PASS_INTERVAL_MS;
            mState.pools().forEach(PoolEntry::capacityChanged);
        }
        for (RequestClass urgency : RequestClass.values()) {
            for (PoolEntry pool : mState.pools()) {
                if (pool.pollChanged(urgency)) {
                    WorkerFinder finder = new WorkerFinder(pool, nowMs);
                    new PlacementPass(mState, pool, urgency, finder, nowMs).run();
                }
            }
        }
        return mState.outbox().takeAll();
    }

    @Override
    public Optional<Explanation> explain(JobId job, long nowMs) {
        return Optional.ofNullable(mState.jobs().get(job))
                .map(j -> PlacementExplainer.of(j, mState));
    }

    @Override
    public Optional<Explanation> explain(VmId worker, long nowMs) {
        return mState.worker(worker).map(w -> PlacementExplainer.of(w, nowMs));
    }
}
