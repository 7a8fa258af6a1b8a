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

/** A pool: its workers, and the jobs that wait in it by class and team. */
final class PoolEntry {

    private final PoolId mId;
    private final FreeIndex mIndex = new FreeIndex();
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

    FreeIndex index() {
        return mIndex;
    }

    Set<WorkerEntry> workers() {
        return mWorkers;
    }

    void add(WorkerEntry worker) {
        mWorkers.add(worker);
        roomChanged();
    }

    void remove(WorkerEntry worker) {
        mWorkers.remove(worker);
        mIndex.remove(worker);
    }

    /** Puts a job among the waiting ones, or takes it out, as it is. */
    void sort(JobEntry job) {
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

    void refused(JobEntry job) {
        mRefused.add(job);
        sort(job);
    }

    /** Jobs refused so far; a new worker may change the reason. */
    Collection<JobEntry> takeRefused() {
        Set<JobEntry> refused = Set.copyOf(mRefused);
        mRefused.clear();
        return refused;
    }

    void forget(JobEntry job) {
        mRefused.remove(job);
        sort(job);
    }

    /** Room was freed, so every class that waits may go on. */
    void roomChanged() {
        for (RequestClass c : RequestClass.values()) {
            mChanged.add(c);
        }
    }

    /** Whether a pass over the class could place anything new. */
    boolean takeChanged(RequestClass urgency) {
        return mChanged.remove(urgency) && !mWaiting.get(urgency).isEmpty();
    }

    void changed(RequestClass urgency) {
        mChanged.add(urgency);
    }
}
