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

/** The placer's state, with the operations that keep its indexes consistent. */
final class PlacementState {

    private static final RackId UNKNOWN_RACK = RackId.of("unknown");

    private final PlacementSettings mSettings;
    private final Outbox mOutbox = new Outbox();
    private final TaskTimers mTimers = new TaskTimers();
    private final Set<PlacedTask> mAwaitingCapacity = new LinkedHashSet<>();
    private final Set<WorkerEntry> mBackingOff = new LinkedHashSet<>();
    private final Map<VmId, WorkerEntry> mWorkers = new HashMap<>();
    private final Map<PoolId, PoolEntry> mPools = new LinkedHashMap<>();
    private final Map<JobId, JobEntry> mJobs = new HashMap<>();
    private final Map<TeamId, TeamShare> mTeams = new HashMap<>();
    private long mTotalMilliProcessors;

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

    Set<PlacedTask> awaitingCapacity() {
        return mAwaitingCapacity;
    }

    Set<WorkerEntry> backingOff() {
        return mBackingOff;
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

    /** Returns a team; its quota is 0 until it is set. */
    TeamShare team(TeamId id) {
        return mTeams.computeIfAbsent(id, t -> new TeamShare(0));
    }

    Map<JobId, JobEntry> jobs() {
        return mJobs;
    }

    Optional<WorkerEntry> worker(VmId id) {
        return Optional.ofNullable(mWorkers.get(id));
    }

    /** Returns the processors of all workers; quotas are shares of them. */
    long totalMilliProcessors() {
        return mTotalMilliProcessors;
    }

    void put(Worker worker) {
        WorkerEntry entry = mWorkers.get(worker.id());
        if (entry != null && entry.worker().pool().equals(worker.pool())) {
            mTotalMilliProcessors += worker.capacity().milliProcessors();
            mTotalMilliProcessors -= entry.capacity().milliProcessors();
            entry.replace(worker);
            pool(worker.pool()).capacityChanged();
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
        mTotalMilliProcessors += worker.capacity().milliProcessors();
    }

    void remove(WorkerEntry entry) {
        mWorkers.remove(entry.worker().id());
        pool(entry.worker().pool()).remove(entry);
        entry.markRemoved();
        mTotalMilliProcessors -= entry.capacity().milliProcessors();
    }

    /** Returns a worker, or a closed placeholder for one that the log names but the fleet lacks. */
    WorkerEntry workerOrPlaceholder(VmId id, JobEntry job) {
        WorkerEntry known = mWorkers.get(id);
        if (known != null) {
            return known;
        }
        Worker closed = new Worker(id, job.spec().pool(), UNKNOWN_RACK, Resources.NONE, false);
        return new WorkerEntry(
                closed, new FreeProcessorIndex(), mSettings.firstQuarantine().toMillis());
    }

    PlacedTask place(
            JobEntry job, int index, WorkerEntry worker, long attempt, TaskPhase phase, long now) {
        PlacedTask task =
                new PlacedTask(new TaskId(job.id(), index), job, worker, attempt, phase, now);
        job.raiseAttempt(index, attempt);
        job.place(task);
        return task;
    }

    void displace(PlacedTask task) {
        task.job().displace(task);
        mAwaitingCapacity.remove(task);
        pool(task.worker().worker().pool()).capacityChanged();
    }

    /** Updates the resources reserved by a task, on its worker and for its team. */
    void reserve(PlacedTask task, Resources amount) {
        long before = task.reserved().milliProcessors();
        task.worker().adjust(task, amount);
        task.job().adjustUsage(amount.milliProcessors() - before);
        if (amount.milliProcessors() < before) {
            pool(task.worker().worker().pool()).capacityChanged();
        }
    }

    void refuse(JobEntry job, String why) {
        job.refuse(why);
        poolOf(job).addRefused(job);
        mOutbox.addRefused(job.id(), why);
    }

    /** Reopens workers whose backoff has expired. */
    void reopenWorkers(long nowMs) {
        List<WorkerEntry> reopened = new ArrayList<>(mBackingOff);
        reopened.removeIf(w -> w.health().closedUntilMs() > nowMs);
        for (WorkerEntry w : reopened) {
            mBackingOff.remove(w);
            pool(w.worker().pool()).capacityChanged();
        }
    }
}
