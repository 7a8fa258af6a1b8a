package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.port.WorkerInfo;

/**
 * The workers known to the owner, each with its current incarnation only.
 *
 * <p>An entry of the directory applies to the incarnation that it names. That of another one is
 * kept until that one answers a poll, whatever the order of their start times, since clocks may be
 * set back.
 */
final class WorkerTable {
    private final Map<WorkerIncarnation, WorkerState> mStates = new LinkedHashMap<>();
    private final Map<String, WorkerIncarnation> mCurrent = new HashMap<>();

    /** The last entry of each worker that the directory lists, of whichever incarnation. */
    private final Map<String, WorkerInfo> mEntries = new HashMap<>();

    Collection<WorkerState> all() {
        return Collections.unmodifiableCollection(mStates.values());
    }

    /** Workers that run the tasks of a service, by their own entries. */
    List<WorkerState> ofService(String service) {
        List<WorkerState> found = new ArrayList<>();
        Optional<String> wanted = Optional.of(service);
        for (WorkerState w : mStates.values()) {
            if (w.registration().service().equals(wanted)) {
                found.add(w);
            }
        }
        return found;
    }

    /** Returns the current incarnation of a worker. */
    Optional<WorkerState> current(String id) {
        return Optional.ofNullable(mCurrent.get(id)).map(mStates::get);
    }

    /** Adds an incarnation without its entry; the former one must have been removed. */
    private WorkerState add(WorkerIncarnation incarnation, String address, long nowMs) {
        WorkerState worker = new WorkerState(incarnation, address, nowMs);
        mStates.put(incarnation, worker);
        mCurrent.put(worker.id(), incarnation);
        return worker;
    }

    private void registerIfListed(WorkerState worker) {
        Optional.ofNullable(mEntries.get(worker.id()))
                .filter(e -> e.incarnation().equals(worker.incarnation()))
                .ifPresent(worker.registration()::apply);
    }

    /**
     * Adds a worker or updates it from its directory entry. An entry of another incarnation doesn't
     * end the current one; the answer to the next poll does.
     *
     * @return whether the worker may have started again
     */
    boolean update(WorkerInfo info, long nowMs) {
        mEntries.put(info.id(), info);
        Optional<WorkerState> known = current(info.id());
        if (known.isEmpty()) {
            registerIfListed(add(info.incarnation(), info.address(), nowMs));
            return false;
        }
        WorkerState worker = known.get();
        WorkerIncarnation listed = info.incarnation();
        learnStart(worker, listed.startMs());
        if (listed.equals(worker.incarnation())) {
            worker.registration().apply(info);
            return false;
        }
        // The start time of a worker that has never answered may be that of a foreign entry.
        boolean isCurrentConfirmed = worker.hasClock() && !worker.isUnresponsive();
        boolean isEarlier = listed.startMs() < worker.incarnation().startMs();
        worker.registration().markListedByOther();
        if (isEarlier && isCurrentConfirmed) {
            // Most likely an entry of a former incarnation, read late.
            return false;
        }
        worker.markUnverified();
        worker.registration().setAddress(info.address());
        return true;
    }

    /** Handles the removal of a worker from the directory, or an entry that can't be read. */
    void unlist(String id) {
        mEntries.remove(id);
        current(id).ifPresent(w -> w.registration().markUnlisted());
    }

    /** Learns the start time of a worker that has never answered. */
    void learnStart(WorkerState worker, long startMs) {
        boolean learns = !worker.incarnation().hasKnownStart() && !worker.hasClock();
        if (learns && startMs != WorkerIncarnation.UNKNOWN_START_MS) {
            setStart(worker, startMs);
        }
    }

    /** Adds the next incarnation of a worker, without attributes until its own entry is read. */
    WorkerState addNext(WorkerState former, long startMs, long nowMs) {
        WorkerIncarnation next = new WorkerIncarnation(former.id(), startMs);
        WorkerState worker = add(next, former.address().address(), nowMs);
        if (former.registration().isListed()) {
            worker.registration().markListedByOther();
        }
        registerIfListed(worker);
        return worker;
    }

    /** Adds an incarnation that is known only from the starts of a previous owner. */
    WorkerState addWithoutEntry(WorkerIncarnation incarnation, long nowMs) {
        WorkerState worker = add(incarnation, "", nowMs);
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
        worker.registration().setIncarnation(incarnation);
        mStates.put(incarnation, worker);
        mCurrent.put(worker.id(), incarnation);
        registerIfListed(worker);
    }
}
