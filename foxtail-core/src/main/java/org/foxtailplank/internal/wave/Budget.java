package org.foxtailplank.internal.wave;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.id.RackId;

/**
 * Availability budget of one service, or of one pool without a service: serving VMs by rack.
 *
 * <p>The largest rack is kept by counting racks of each size, so that a stop costs constant time.
 */
public final class Budget {

    private final String mSubject;
    private final int mMinAvailable;
    private final int mDemand;
    private final Map<RackId, int[]> mByRack = new HashMap<>();
    private int[] mRacksOfSize = new int[8];
    private int mServing;
    private int mLargest;
    private int mPowered;
    private int mStopped;

    Budget(String subject, int minAvailable, int demand) {
        mSubject = subject;
        mMinAvailable = minAvailable;
        mDemand = demand;
    }

    /** A VM that serves. */
    void add(RackId rack) {
        int[] count = mByRack.computeIfAbsent(rack, r -> new int[1]);
        resize(count, count[0] + 1);
        mServing++;
    }

    /** A VM that would serve if nothing had failed and nothing were under way. */
    void addPowered() {
        mPowered++;
    }

    /** Whether one VM of the rack can stop and any one more rack still be lost. */
    public boolean canStop(RackId rack) {
        int[] count = mByRack.get(rack);
        if (count == null || count[0] == 0) {
            return false;
        }
        boolean shrinks = count[0] == mLargest && mRacksOfSize[mLargest] == 1;
        int largest = shrinks ? mLargest - 1 : mLargest;
        int left = mServing - 1;
        return left - largest >= mMinAvailable && left >= mDemand;
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
        if (size >= mRacksOfSize.length) {
            mRacksOfSize = Arrays.copyOf(mRacksOfSize, size * 2);
        }
        mRacksOfSize[count[0]]--;
        mRacksOfSize[size]++;
        count[0] = size;
        mLargest = Math.max(mLargest, size);
        while (mLargest > 0 && mRacksOfSize[mLargest] == 0) {
            mLargest--;
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

    public int largest() {
        return mLargest;
    }

    /** VMs that could stop now, each from the rack where it hurts least. */
    int slack() {
        return Math.min(mServing - mLargest - mMinAvailable, mServing - mDemand);
    }

    Optional<RackId> largestRack() {
        return mByRack.entrySet().stream()
                .filter(e -> e.getValue()[0] == mLargest && mLargest > 0)
                .map(Map.Entry::getKey)
                .min(RackId::compareTo);
    }
}
