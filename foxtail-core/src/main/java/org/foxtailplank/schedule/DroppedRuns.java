package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.List;

/** Collects dropped runs until they are logged; the oldest ones are kept if there are too many. */
final class DroppedRuns {
    private static final int MAX_KEPT = 5000;

    private final List<DroppedRun> mRuns = new ArrayList<>();

    void add(DroppedRun run) {
        if (mRuns.size() < MAX_KEPT) {
            mRuns.add(run);
        }
    }

    /** Returns the runs that were dropped since the last call. */
    List<DroppedRun> take() {
        List<DroppedRun> runs = List.copyOf(mRuns);
        mRuns.clear();
        return runs;
    }
}
