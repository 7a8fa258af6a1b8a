package org.foxtailplank.internal.placement;

import java.util.Collection;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.request.RequestClass;

/** A pool with its workers and its waiting jobs by class and team. */
final class PoolEntry {

    private final PoolId mId;
    private final FreeProcessorIndex mIndex = new FreeProcessorIndex();
    private final Set<WorkerEntry> mWorkers = new LinkedHashSet<>();
    private final Map<RequestClass, Map<TeamShare, Set<JobEntry>>> mWaiting =
            new EnumMap<>(RequestClass.class);
    private final Set<JobEntry> mRefused = new HashSet<>();
    private final Set<RequestClass> mChanged = new HashSet<>();

    PoolEntry(PoolId id) {
        mId = id;
        for (RequestClass c : RequestClass.values()) {
            mWaiting.put(c, new LinkedHashMap<>());
        }
    }

    PoolId id() {
        return mId;
    }

    FreeProcessorIndex index() {
        return mIndex;
    }

    Set<WorkerEntry> workers() {
        return mWorkers;
    }

    void add(WorkerEntry worker) {
        mWorkers.add(worker);
        capacityChanged();
    }

    void remove(WorkerEntry worker) {
        mWorkers.remove(worker);
        mIndex.remove(worker);
    }

    /** Adds a waiting job to the queue of its class and team, or removes one that does not wait. */
    void updateQueue(JobEntry job) {
        Map<TeamShare, Set<JobEntry>> byTeam = mWaiting.get(job.spec().urgency());
        if (job.isWaiting()) {
            byTeam.computeIfAbsent(job.team(), t -> new LinkedHashSet<>()).add(job);
            mChanged.add(job.spec().urgency());
            return;
        }
        Set<JobEntry> jobs = byTeam.get(job.team());
        if (jobs != null && jobs.remove(job) && jobs.isEmpty()) {
            byTeam.remove(job.team());
        }
    }

    Map<TeamShare, Set<JobEntry>> waiting(RequestClass urgency) {
        return mWaiting.get(urgency);
    }

    void addRefused(JobEntry job) {
        mRefused.add(job);
        updateQueue(job);
    }

    /** Removes and returns the refused jobs, for another feasibility check. */
    Collection<JobEntry> pollRefused() {
        Set<JobEntry> refused = Set.copyOf(mRefused);
        mRefused.clear();
        return refused;
    }

    void removeRefused(JobEntry job) {
        mRefused.remove(job);
        updateQueue(job);
    }

    /** Marks all classes for another pass after a change of capacity. */
    void capacityChanged() {
        for (RequestClass c : RequestClass.values()) {
            mChanged.add(c);
        }
    }

    /** Returns whether a class is marked and has waiting jobs; clears the mark. */
    boolean pollChanged(RequestClass urgency) {
        return mChanged.remove(urgency) && !mWaiting.get(urgency).isEmpty();
    }

    void markChanged(RequestClass urgency) {
        mChanged.add(urgency);
    }
}
