package org.foxtailplank.internal.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Index of the open workers of a pool by their number of free whole processors. */
final class FreeProcessorIndex {

    private static final long MILLI_PER_PROCESSOR = 1000;

    private final List<Set<WorkerEntry>> mBuckets = new ArrayList<>();
    private final Map<WorkerEntry, Integer> mBucketOf = new HashMap<>();

    /** Updates a worker whose free capacity may have changed. */
    void update(WorkerEntry worker) {
        Integer old = mBucketOf.get(worker);
        if (!worker.isOpen()) {
            remove(worker);
            return;
        }
        int place = (int) Math.max(0, worker.free().milliProcessors() / MILLI_PER_PROCESSOR);
        if (old != null && old == place) {
            return;
        }
        if (old != null) {
            mBuckets.get(old).remove(worker);
        }
        while (mBuckets.size() <= place) {
            mBuckets.add(new LinkedHashSet<>());
        }
        mBuckets.get(place).add(worker);
        mBucketOf.put(worker, place);
    }

    void remove(WorkerEntry worker) {
        Integer old = mBucketOf.remove(worker);
        if (old != null) {
            mBuckets.get(old).remove(worker);
        }
    }

    int size() {
        return mBucketOf.size();
    }

    /** Returns the highest number of free processors so far plus one. */
    int bucketCount() {
        return mBuckets.size();
    }

    Set<WorkerEntry> bucket(int freeProcessors) {
        return mBuckets.get(freeProcessors);
    }

    Set<WorkerEntry> all() {
        return mBucketOf.keySet();
    }
}
