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

/** Places tasks by indexes that are told each change. */
public final class IndexedPlacer implements Placer {

    /** Time after which everything that waits is looked at again, whatever has changed. */
    private static final long SWEEP_MS = 30_000;

    /** Time that a task has to run for its worker to count as sound. */
    private static final long SOUND_MS = 10_000;

    private final PlacementState mState;
    private final TaskEvents mEvents;
    private final TaskWatch mWatch;
    private long mNextSweepMs;

    public IndexedPlacer(PlacementSettings settings) {
        mState = new PlacementState(settings);
        mEvents = new TaskEvents(mState);
        mWatch = new TaskWatch(mState);
    }

    @Override
    public void quotas(Map<TeamId, Double> quotas) {
        quotas.forEach((team, quota) -> mState.team(team).quota(quota));
        mState.pools().forEach(this::reconsider);
    }

    @Override
    public void worker(Worker worker, long nowMs) {
        mState.worker(worker.id())
                .filter(w -> !w.worker().pool().equals(worker.pool()))
                .ifPresent(w -> poolLost(w));
        mState.put(worker);
        reconsider(mState.pool(worker.pool()));
    }

    @Override
    public void workerGone(VmId worker, long nowMs) {
        mState.worker(worker).ifPresent(this::poolLost);
    }

    /** Jobs that only a lost worker could have run are refused, and not left to wait for ever. */
    private void poolLost(WorkerEntry worker) {
        PoolId id = worker.worker().pool();
        mState.remove(worker);
        PoolEntry pool = mState.pool(id);
        for (RequestClass c : RequestClass.values()) {
            List<JobEntry> waiting = new ArrayList<>();
            pool.waiting(c).values().forEach(waiting::addAll);
            waiting.forEach(job -> check(job, pool));
        }
    }

    /** Refused jobs are looked at again when the pool or a quota has changed. */
    private void reconsider(PoolEntry pool) {
        for (JobEntry job : pool.takeRefused()) {
            boolean failed = !job.failedOn().isEmpty();
            if (failed || FitCheck.refusal(job, pool).isPresent()) {
                pool.refused(job);
            } else {
                job.readmit();
                pool.sort(job);
            }
        }
    }

    private void check(JobEntry job, PoolEntry pool) {
        FitCheck.refusal(job, pool).ifPresent(why -> mState.refuse(job, why));
    }

    @Override
    public void job(JobState job, long nowMs) {
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
            mEvents.seen(new TaskId(job.id(), task.getKey()), task.getValue(), nowMs);
        }
        if (entry.isWaiting()) {
            check(entry, pool);
        }
        pool.sort(entry);
        if (entry.isOver() && entry.refused().isEmpty()) {
            mState.jobs().remove(job.id());
        }
    }

    /** Costs in proportion to the tasks of the job that are placed. */
    private void cancel(JobEntry job, long nowMs) {
        job.cancel();
        for (PlacedTask task : new ArrayList<>(job.placed().values())) {
            boolean neverAsked =
                    task.phase() == TaskPhase.AWAITING_ROOM || task.phase() == TaskPhase.PROPOSED;
            if (neverAsked) {
                mState.displace(task);
            } else if (task.asked() != TaskAction.STOP) {
                mEvents.stop(task, nowMs);
            }
        }
    }

    @Override
    public void task(TaskId task, TaskState state, long nowMs) {
        mEvents.seen(task, state, nowMs);
    }

    @Override
    public void renewed(TaskId task, long nowMs) {
        placed(task).ifPresent(t -> t.heard(nowMs));
    }

    private Optional<PlacedTask> placed(TaskId task) {
        return Optional.ofNullable(mState.jobs().get(task.job()))
                .map(j -> j.placed().get(task.index()));
    }

    @Override
    public void report(WorkerReport report, long nowMs) {
        Optional<WorkerEntry> worker = mState.worker(report.worker());
        if (worker.isEmpty()) {
            return;
        }
        Resources used = Resources.NONE;
        for (WorkerReport.Running running : report.tasks()) {
            used = used.plus(running.used());
            runs(worker.get(), running, report.asOfMs());
        }
        worker.get().measured(used);
        if (worker.get().isShortOfMemory()) {
            relieve(worker.get(), nowMs);
        }
    }

    private void runs(WorkerEntry worker, WorkerReport.Running running, long asOfMs) {
        JobEntry job = mState.jobs().get(running.task().job());
        if (job == null) {
            return;
        }
        PlacedTask task = job.placed().get(running.task().index());
        boolean current =
                task != null && task.worker() == worker && task.attempt() == running.attempt();
        if (!current) {
            fence(job, worker, running);
            return;
        }
        task.heard(asOfMs);
        learn(task, running.used());
        if (task.phase().runs() && asOfMs - task.sinceMs() >= SOUND_MS) {
            worker.health().succeeded();
        }
    }

    /** A throttled task shows less than it needs, so nothing is learned from it. */
    private void learn(PlacedTask task, Resources used) {
        if (task.phase() != TaskPhase.RUNNING) {
            return;
        }
        boolean first = !task.job().estimate().isMeasured();
        task.job().estimate().seen(used);
        if (first) {
            task.job().team().learn(task.job().estimate().ratio());
        }
        mState.reserve(task, task.need());
    }

    /**
     * Guards against a worker that was paused past its lease: it shows as two workers that report
     * the same task. The lower attempt is stopped, since only the higher one is in the log.
     */
    private void fence(JobEntry job, WorkerEntry worker, WorkerReport.Running running) {
        if (running.attempt() < job.attempt(running.task().index())) {
            mState.outbox()
                    .ask(
                            new PlacementAction(
                                    running.task(),
                                    worker.worker().id(),
                                    TaskAction.STOP,
                                    running.attempt(),
                                    true,
                                    "a later attempt has taken its place"));
        }
    }

    /** Memory can't be throttled: the youngest batch task gives way before the worker fails. */
    private void relieve(WorkerEntry worker, long nowMs) {
        boolean underWay = worker.tasks().stream().anyMatch(t -> t.phase() == TaskPhase.LEAVING);
        if (underWay) {
            return;
        }
        worker.tasks().stream()
                .filter(PlacedTask::canGiveWay)
                .max(Comparator.comparingLong(PlacedTask::sinceMs))
                .ifPresent(
                        t -> {
                            t.enter(TaskPhase.LEAVING, TaskAction.CHECKPOINT, nowMs);
                            mState.outbox()
                                    .ask(t, TaskAction.CHECKPOINT, false, "memory runs out on it");
                            mState.timers()
                                    .at(nowMs + mState.settings().answerPatience().toMillis(), t);
                        });
    }

    @Override
    public PlacementDecision decide(long nowMs) {
        mState.wakeRested(nowMs);
        mWatch.run(nowMs);
        if (nowMs >= mNextSweepMs) {
            mNextSweepMs = nowMs + SWEEP_MS;
            mState.pools().forEach(PoolEntry::roomChanged);
        }
        for (RequestClass urgency : RequestClass.values()) {
            for (PoolEntry pool : mState.pools()) {
                if (pool.takeChanged(urgency)) {
                    RoomFinder finder = new RoomFinder(pool, nowMs);
                    new PlacementPass(mState, pool, urgency, finder, nowMs).run();
                }
            }
        }
        return mState.outbox().take();
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
