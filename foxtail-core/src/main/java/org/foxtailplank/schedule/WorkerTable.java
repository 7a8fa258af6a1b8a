package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.port.WorkerInfo;

/** The workers known to the owner, each with its current incarnation only. */
final class WorkerTable {
    private final Map<WorkerIncarnation, WorkerState> mStates = new LinkedHashMap<>();
    private final Map<String, WorkerIncarnation> mCurrent = new HashMap<>();

    Collection<WorkerState> all() {
        return Collections.unmodifiableCollection(mStates.values());
    }

    /** Workers that run the tasks of a service. */
    List<WorkerState> ofService(String service) {
        List<WorkerState> found = new ArrayList<>();
        for (WorkerState w : mStates.values()) {
            if (w.info().service().equals(service)) {
                found.add(w);
            }
        }
        return found;
    }

    /** Returns the current incarnation of a worker. */
    Optional<WorkerState> current(String id) {
        return Optional.ofNullable(mCurrent.get(id)).map(mStates::get);
    }

    /** Adds a worker, whose former incarnation must have been removed. */
    WorkerState add(WorkerInfo info, long nowMs) {
        WorkerState worker = new WorkerState(info, nowMs);
        mStates.put(info.incarnation(), worker);
        mCurrent.put(info.id(), info.incarnation());
        return worker;
    }

    /**
     * Adds a worker or updates it from its directory entry. An entry of a later incarnation doesn't
     * end the current one; the answer to the next poll does.
     *
     * @return whether the worker may have started again
     */
    boolean update(WorkerInfo info, long nowMs) {
        Optional<WorkerState> known = current(info.id());
        if (known.isEmpty()) {
            add(info, nowMs);
            return false;
        }
        WorkerState worker = known.get();
        WorkerIncarnation listed = info.incarnation();
        learnStart(worker, listed.startMs());
        WorkerIncarnation current = worker.incarnation();
        boolean other = listed.hasKnownStart() && !listed.equals(current);
        // The start time of a worker that has never answered may be that of a foreign entry.
        boolean isCurrentConfirmed = worker.hasClock() && !worker.isUnresponsive();
        if (other && listed.startMs() < current.startMs() && isCurrentConfirmed) {
            // An entry of a former incarnation, read late.
            return false;
        }
        if (other) {
            worker.markUnverified();
        }
        worker.updateInfo(info.withIncarnation(current));
        worker.setEntryStartMs(listed.startMs());
        return other;
    }

    /** Learns the start time of a worker that has never answered. */
    void learnStart(WorkerState worker, long startMs) {
        boolean learns = !worker.incarnation().hasKnownStart() && !worker.hasClock();
        if (learns && startMs != WorkerIncarnation.UNKNOWN_START_MS) {
            setStart(worker, startMs);
        }
    }

    /** Adds the next incarnation of a worker, with the former one's entry until it registers. */
    WorkerState addNext(WorkerState former, long startMs, long nowMs) {
        WorkerIncarnation next = new WorkerIncarnation(former.id(), startMs);
        WorkerState worker = add(former.info().withIncarnation(next), nowMs);
        worker.setEntryStartMs(former.entryStartMs());
        if (!former.isListed()) {
            worker.markUnlisted();
        }
        return worker;
    }

    /** Adds an incarnation that is known only from the starts of a previous owner. */
    WorkerState addWithoutInfo(WorkerIncarnation incarnation, String service, long nowMs) {
        WorkerInfo info =
                new WorkerInfo(incarnation, service, "", "", Resources.NONE, Set.of(), "", false);
        WorkerState worker = add(info, nowMs);
        worker.markUnlisted();
        worker.markUnresponsive(nowMs);
        return worker;
    }

    /** Removes an incarnation; returns whether it was the current one of its worker. */
    boolean remove(WorkerState worker) {
        boolean removed = mStates.remove(worker.incarnation(), worker);
        if (removed) {
            mCurrent.remove(worker.id());
        }
        return removed;
    }

    /** Sets the start time of an incarnation that was unknown or outdated. */
    void setStart(WorkerState worker, long startMs) {
        remove(worker);
        WorkerIncarnation incarnation = new WorkerIncarnation(worker.id(), startMs);
        worker.setIncarnation(incarnation);
        mStates.put(incarnation, worker);
        mCurrent.put(worker.id(), incarnation);
    }
}
