package org.foxtailplank.load.internal.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.foxtailplank.fleet.Explanation;
import org.foxtailplank.fleet.PlacementAction;
import org.foxtailplank.fleet.PlacementDecision;
import org.foxtailplank.fleet.Placer;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.fleet.TaskId;
import org.foxtailplank.fleet.Worker;
import org.foxtailplank.fleet.WorkerReport;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.state.JobSpec;
import org.foxtailplank.state.JobState;
import org.foxtailplank.state.TaskAction;
import org.foxtailplank.state.TaskOutcome;
import org.foxtailplank.state.TaskState;

/** The baseline: first come first served, first fit by declared sizes, retried for ever. */
final class FirstFitPlacer implements Placer {

    private record Held(VmId worker, Resources amount) {}

    private final int mMostActions;
    private final Map<PoolId, Map<VmId, Resources>> mFree = new HashMap<>();
    private final Map<VmId, PoolId> mPoolOf = new HashMap<>();
    private final Map<JobId, JobSpec> mJobs = new HashMap<>();
    private final Map<PoolId, Set<TaskId>> mWaiting = new LinkedHashMap<>();
    private final Map<TaskId, Held> mHeld = new HashMap<>();
    private final Map<TaskId, Long> mAttempts = new HashMap<>();
    private final List<PlacementAction> mStops = new ArrayList<>();
    private final Set<JobId> mCancelled = new LinkedHashSet<>();

    FirstFitPlacer(int mostActions) {
        mMostActions = mostActions;
    }

    @Override
    public void setQuotas(Map<TeamId, Double> quotas) {}

    @Override
    public void updateWorker(Worker worker, long nowMs) {
        mPoolOf.put(worker.id(), worker.pool());
        mFree.computeIfAbsent(worker.pool(), p -> new TreeMap<>())
                .put(worker.id(), worker.capacity());
    }

    @Override
    public void removeWorker(VmId worker, long nowMs) {
        mFree.get(mPoolOf.get(worker)).remove(worker);
    }

    @Override
    public void updateJob(JobState job, long nowMs) {
        JobSpec known = mJobs.putIfAbsent(job.id(), job.spec());
        Set<TaskId> waiting =
                mWaiting.computeIfAbsent(job.spec().pool(), p -> new LinkedHashSet<>());
        for (int i = 0; i < job.spec().tasks(); i++) {
            TaskId task = new TaskId(job.id(), i);
            if (job.cancelled()) {
                waiting.remove(task);
                stop(task);
            } else if (known == null) {
                waiting.add(task);
            }
        }
        if (job.cancelled()) {
            mCancelled.add(job.id());
        }
    }

    private void stop(TaskId task) {
        Held held = mHeld.get(task);
        if (held != null) {
            mStops.add(action(task, held.worker(), TaskAction.STOP));
        }
    }

    private PlacementAction action(TaskId task, VmId worker, TaskAction action) {
        return new PlacementAction(task, worker, action, mAttempts.get(task), false, "first fit");
    }

    @Override
    public void updateTask(TaskId task, TaskState state, long nowMs) {
        boolean ended = state.outcome().isPresent() && state.outcome().get() != TaskOutcome.RUNNING;
        Held held = ended ? mHeld.remove(task) : null;
        if (held == null) {
            return;
        }
        PoolId pool = mPoolOf.get(held.worker());
        mFree.get(pool).computeIfPresent(held.worker(), (w, free) -> free.plus(held.amount()));
        boolean again =
                state.outcome().get() != TaskOutcome.SUCCEEDED && !mCancelled.contains(task.job());
        if (again) {
            mWaiting.get(pool).add(task);
        }
    }

    @Override
    public void applyReport(WorkerReport report, long nowMs) {}

    @Override
    public void renewLease(TaskId task, long nowMs) {}

    @Override
    public PlacementDecision decide(long nowMs) {
        List<PlacementAction> actions = new ArrayList<>(mStops);
        mStops.clear();
        mWaiting.forEach((pool, waiting) -> place(pool, waiting, actions));
        return new PlacementDecision(actions, List.of(), Map.of(), Map.of());
    }

    private void place(PoolId pool, Set<TaskId> waiting, List<PlacementAction> actions) {
        List<Resources> noRoom = new ArrayList<>();
        Iterator<TaskId> it = waiting.iterator();
        while (it.hasNext() && actions.size() < mMostActions) {
            TaskId task = it.next();
            Resources need = Resources.declaredBy(mJobs.get(task.job()));
            if (noRoom.stream().anyMatch(r -> r.fitsIn(need))) {
                continue;
            }
            Optional<VmId> worker =
                    mFree.get(pool).entrySet().stream()
                            .filter(e -> need.fitsIn(e.getValue()))
                            .map(Map.Entry::getKey)
                            .findFirst();
            if (worker.isEmpty()) {
                noRoom.add(need);
                continue;
            }
            it.remove();
            mFree.get(pool).computeIfPresent(worker.get(), (w, free) -> free.minus(need));
            mHeld.put(task, new Held(worker.get(), need));
            mAttempts.merge(task, 1L, Long::sum);
            actions.add(action(task, worker.get(), TaskAction.START));
        }
    }

    @Override
    public Optional<Explanation> explain(JobId job, long nowMs) {
        return Optional.empty();
    }

    @Override
    public Optional<Explanation> explain(VmId worker, long nowMs) {
        return Optional.empty();
    }
}
