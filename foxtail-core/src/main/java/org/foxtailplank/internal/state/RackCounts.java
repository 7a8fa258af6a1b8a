package org.foxtailplank.internal.state;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.foxtailplank.id.RackId;

/** Serving instances of one service by rack; maintains the size of the largest rack. */
final class RackCounts {
    private static final int FIRST_SIZE = 8;

    private final Map<RackId, Integer> mByRack = new HashMap<>();

    /** Number of racks that hold a given number of instances. */
    private int[] mRacksBySize = new int[FIRST_SIZE];

    private int mTotal;
    private int mLargestRackSize;

    int total() {
        return mTotal;
    }

    /** Returns the instances that remain after the loss of the largest rack. */
    int afterWorstRack() {
        return mTotal - mLargestRackSize;
    }

    /**
     * Returns the instances that remain after a stop in one rack and the loss of the largest rack.
     */
    int afterStopAndWorstRack(RackId rack) {
        int n = mByRack.getOrDefault(rack, 0);
        boolean onlyLargest = n == mLargestRackSize && mRacksBySize[n] == 1;
        int largestRackSize = onlyLargest ? mLargestRackSize - 1 : mLargestRackSize;
        return mTotal - 1 - largestRackSize;
    }

    void add(RackId rack) {
        int n = mByRack.merge(rack, 1, Integer::sum);
        mTotal++;
        if (n > 1) {
            mRacksBySize[n - 1]--;
        }
        if (n >= mRacksBySize.length) {
            mRacksBySize = Arrays.copyOf(mRacksBySize, n * 2);
        }
        mRacksBySize[n]++;
        mLargestRackSize = Math.max(mLargestRackSize, n);
    }

    void remove(RackId rack) {
        int n = mByRack.get(rack);
        mTotal--;
        mRacksBySize[n]--;
        if (n == 1) {
            mByRack.remove(rack);
        } else {
            mByRack.put(rack, n - 1);
            mRacksBySize[n - 1]++;
        }
        if (mRacksBySize[mLargestRackSize] == 0) {
            mLargestRackSize--;
        }
    }
}
