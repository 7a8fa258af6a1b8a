package org.foxtailplank.internal.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The open workers of a pool by the whole processors that are free on them. */
final class FreeIndex {

    private static final long MILLI = 1000;

    private final List<Set<WorkerEntry>> mByFree = new ArrayList<>();
    private final Map<WorkerEntry, Integer> mPlace = new HashMap<>();

    /** The worker's room may have changed. */
    void update(WorkerEntry worker) {
        Integer old = mPlace.get(worker);
        if (!worker.isOpen()) {
            remove(worker);
            return;
        }
        int place = (int) Math.max(0, worker.free().milliProcessors() / MILLI);
        if (old != null && old == place) {
            return;
        }
        if (old != null) {
            mByFree.get(old).remove(worker);
        }
        while (mByFree.size() <= place) {
            mByFree.add(new LinkedHashSet<>());
        }
        mByFree.get(place).add(worker);
        mPlace.put(worker, place);
    }

    void remove(WorkerEntry worker) {
        Integer old = mPlace.remove(worker);
        if (old != null) {
            mByFree.get(old).remove(worker);
        }
    }

    int size() {
        return mPlace.size();
    }

    /** Highest number of free processors plus one. */
    int places() {
        return mByFree.size();
    }

    Set<WorkerEntry> at(int freeProcessors) {
        return mByFree.get(freeProcessors);
    }

    Set<WorkerEntry> all() {
        return mPlace.keySet();
    }
}
