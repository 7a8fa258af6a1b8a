package org.foxtailplank.internal.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.fleet.PlacementSettings;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.fleet.TaskId;
import org.foxtailplank.fleet.Worker;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.id.VmId;

/** All that the placer knows, and the few changes that keep its indexes together. */
final class PlacementState {

    private static final RackId NO_RACK = RackId.of("unknown");

    private final PlacementSettings mSettings;
    private final Outbox mOutbox = new Outbox();
    private final TaskTimers mTimers = new TaskTimers();
    private final Set<PlacedTask> mAwaitingRoom = new LinkedHashSet<>();
    private final Set<WorkerEntry> mResting = new LinkedHashSet<>();
    private final Map<VmId, WorkerEntry> mWorkers = new HashMap<>();
    private final Map<PoolId, PoolEntry> mPools = new LinkedHashMap<>();
    private final Map<JobId, JobEntry> mJobs = new HashMap<>();
    private final Map<TeamId, TeamShare> mTeams = new HashMap<>();
    private long mTotalMilli;

    PlacementState(PlacementSettings settings) {
        mSettings = settings;
    }

    PlacementSettings settings() {
        return mSettings;
    }

    Outbox outbox() {
        return mOutbox;
    }

    TaskTimers timers() {
        return mTimers;
    }

    Set<PlacedTask> awaitingRoom() {
        return mAwaitingRoom;
    }

    Set<WorkerEntry> resting() {
        return mResting;
    }

    PoolEntry pool(PoolId id) {
        return mPools.computeIfAbsent(id, PoolEntry::new);
    }

    PoolEntry poolOf(JobEntry job) {
        return pool(job.spec().pool());
    }

    Iterable<PoolEntry> pools() {
        return mPools.values();
    }

    /** A team that no quota names has none. */
    TeamShare team(TeamId id) {
        return mTeams.computeIfAbsent(id, t -> new TeamShare(0));
    }

    Map<JobId, JobEntry> jobs() {
        return mJobs;
    }

    Optional<WorkerEntry> worker(VmId id) {
        return Optional.ofNullable(mWorkers.get(id));
    }

    /** Processors of all workers, which quotas are shares of. */
    long totalMilli() {
        return mTotalMilli;
    }

    void put(Worker worker) {
        WorkerEntry entry = mWorkers.get(worker.id());
        if (entry != null && entry.worker().pool().equals(worker.pool())) {
            mTotalMilli += worker.capacity().milliProcessors();
            mTotalMilli -= entry.capacity().milliProcessors();
            entry.replace(worker);
            pool(worker.pool()).roomChanged();
            return;
        }
        if (entry != null) {
            remove(entry);
        }
        PoolEntry pool = pool(worker.pool());
        long quarantine = mSettings.firstQuarantine().toMillis();
        WorkerEntry added = new WorkerEntry(worker, pool.index(), quarantine);
        mWorkers.put(worker.id(), added);
        pool.add(added);
        mTotalMilli += worker.capacity().milliProcessors();
    }

    void remove(WorkerEntry entry) {
        mWorkers.remove(entry.worker().id());
        pool(entry.worker().pool()).remove(entry);
        entry.gone();
        mTotalMilli -= entry.capacity().milliProcessors();
    }

    /** A worker that the log names and the fleet does not; it takes no tasks. */
    WorkerEntry workerOrClosed(VmId id, JobEntry job) {
        WorkerEntry known = mWorkers.get(id);
        if (known != null) {
            return known;
        }
        Worker closed = new Worker(id, job.spec().pool(), NO_RACK, Resources.NONE, false);
        return new WorkerEntry(closed, new FreeIndex(), mSettings.firstQuarantine().toMillis());
    }

    PlacedTask place(
            JobEntry job, int index, WorkerEntry worker, long attempt, TaskPhase phase, long now) {
        PlacedTask task =
                new PlacedTask(new TaskId(job.id(), index), job, worker, attempt, phase, now);
        job.attempt(index, attempt);
        job.place(task);
        return task;
    }

    void displace(PlacedTask task) {
        task.job().displace(task);
        mAwaitingRoom.remove(task);
        pool(task.worker().worker().pool()).roomChanged();
    }

    /** Sets what a task takes, on its worker and for its team. */
    void reserve(PlacedTask task, Resources amount) {
        long before = task.reserved().milliProcessors();
        task.worker().adjust(task, amount);
        task.job().used(amount.milliProcessors() - before);
        if (amount.milliProcessors() < before) {
            pool(task.worker().worker().pool()).roomChanged();
        }
    }

    void refuse(JobEntry job, String why) {
        job.refuse(why);
        poolOf(job).refused(job);
        mOutbox.refused(job.id(), why);
    }

    /** Workers whose pause is over get tasks again. */
    void wakeRested(long nowMs) {
        List<WorkerEntry> rested = new ArrayList<>(mResting);
        rested.removeIf(w -> w.health().closedUntilMs() > nowMs);
        for (WorkerEntry w : rested) {
            mResting.remove(w);
            pool(w.worker().pool()).roomChanged();
        }
    }
}
