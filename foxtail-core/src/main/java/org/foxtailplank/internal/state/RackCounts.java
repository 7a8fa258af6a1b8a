package org.foxtailplank.internal.state;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.foxtailplank.id.RackId;

/** Serving instances of one service by rack, with the fullest rack at hand. */
final class RackCounts {
    private static final int FIRST_SIZE = 8;

    private final Map<RackId, Integer> mByRack = new HashMap<>();

    /** Number of racks that hold a given number of instances. */
    private int[] mRacksWith = new int[FIRST_SIZE];

    private int mTotal;
    private int mFullest;

    int total() {
        return mTotal;
    }

    /** Instances that are left when the rack that holds most of them is lost. */
    int afterWorstRack() {
        return mTotal - mFullest;
    }

    /** The same, if one instance of a rack were stopped before. */
    int afterStopAndWorstRack(RackId rack) {
        int n = mByRack.getOrDefault(rack, 0);
        boolean onlyFullest = n == mFullest && mRacksWith[n] == 1;
        int fullest = onlyFullest ? mFullest - 1 : mFullest;
        return mTotal - 1 - fullest;
    }

    void add(RackId rack) {
        int n = mByRack.merge(rack, 1, Integer::sum);
        mTotal++;
        if (n > 1) {
            mRacksWith[n - 1]--;
        }
        if (n >= mRacksWith.length) {
            mRacksWith = Arrays.copyOf(mRacksWith, n * 2);
        }
        mRacksWith[n]++;
        mFullest = Math.max(mFullest, n);
    }

    void remove(RackId rack) {
        int n = mByRack.get(rack);
        mTotal--;
        mRacksWith[n]--;
        if (n == 1) {
            mByRack.remove(rack);
        } else {
            mByRack.put(rack, n - 1);
            mRacksWith[n - 1]++;
        }
        if (mRacksWith[mFullest] == 0) {
            mFullest--;
        }
    }
}
