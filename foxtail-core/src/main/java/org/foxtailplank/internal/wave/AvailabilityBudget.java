package org.foxtailplank.internal.wave;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.id.RackId;

/**
 * Availability budget of one service, or of one pool without a service; counts serving VMs by rack.
 *
 * <p>Racks are counted by size, so that the largest one is updated in constant time.
 */
public final class AvailabilityBudget {

    private final String mSubject;
    private final int mMinAvailable;
    private final int mDemand;
    private final Map<RackId, int[]> mByRack = new HashMap<>();
    private int[] mRacksBySize = new int[8];
    private int mServing;
    private int mLargestRackSize;
    private int mPowered;
    private int mStopped;

    AvailabilityBudget(String subject, int minAvailable, int demand) {
        mSubject = subject;
        mMinAvailable = minAvailable;
        mDemand = demand;
    }

    /** Counts a VM that serves. */
    void add(RackId rack) {
        int[] count = mByRack.computeIfAbsent(rack, r -> new int[1]);
        resize(count, count[0] + 1);
        mServing++;
    }

    /** Counts a VM that is powered on, whether or not it serves. */
    void addPowered() {
        mPowered++;
    }

    /** Returns whether the budget allows a stop in the rack and the loss of any one more rack. */
    public boolean canStop(RackId rack) {
        int[] count = mByRack.get(rack);
        if (count == null || count[0] == 0) {
            return false;
        }
        boolean shrinks = count[0] == mLargestRackSize && mRacksBySize[mLargestRackSize] == 1;
        int largestRackSize = shrinks ? mLargestRackSize - 1 : mLargestRackSize;
        int left = mServing - 1;
        return left - largestRackSize >= mMinAvailable && left >= mDemand;
    }

    /** Takes one VM of the rack out of service. */
    public void stop(RackId rack) {
        int[] count = mByRack.get(rack);
        resize(count, count[0] - 1);
        mServing--;
        mStopped++;
    }

    /** Puts one VM of the rack back into service. */
    void restart(RackId rack) {
        add(rack);
        mStopped--;
    }

    private void resize(int[] count, int size) {
        if (size >= mRacksBySize.length) {
            mRacksBySize = Arrays.copyOf(mRacksBySize, size * 2);
        }
        mRacksBySize[count[0]]--;
        mRacksBySize[size]++;
        count[0] = size;
        mLargestRackSize = Math.max(mLargestRackSize, size);
        while (mLargestRackSize > 0 && mRacksBySize[mLargestRackSize] == 0) {
            mLargestRackSize--;
        }
    }

    String subject() {
        return mSubject;
    }

    public int minAvailable() {
        return mMinAvailable;
    }

    int demand() {
        return mDemand;
    }

    public int serving() {
        return mServing;
    }

    int powered() {
        return mPowered;
    }

    int stopped() {
        return mStopped;
    }

    public int largestRackSize() {
        return mLargestRackSize;
    }

    /** Returns the number of VMs that may stop now if the largest rack keeps its size. */
    int slack() {
        return Math.min(mServing - mLargestRackSize - mMinAvailable, mServing - mDemand);
    }

    Optional<RackId> largestRack() {
        return mByRack.entrySet().stream()
                .filter(e -> e.getValue()[0] == mLargestRackSize && mLargestRackSize > 0)
                .map(Map.Entry::getKey)
                .min(RackId::compareTo);
    }
}
