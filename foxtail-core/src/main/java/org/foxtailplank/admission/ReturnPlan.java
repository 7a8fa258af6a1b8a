package org.foxtailplank.admission;

import java.util.Arrays;

/**
 * Work that refused callers of one queue were asked to bring back, by the second of their return.
 */
final class ReturnPlan {
    /** Longest time until a return, in seconds. */
    static final int MAX_S = 600;

    /** Seconds for which capacity is kept for callers that haven't returned. */
    private static final int GRACE_S = 2;

    /** Second planned at the earliest in the ring of seconds. */
    private static final int RING = 1024;

    /** Weight of the last second in the share of callers that return. */
    private static final double NEWEST_WEIGHT = 0.25;

    private final long[] mPlanned = new long[RING];
    private final long[] mMissing = new long[RING];
    private long mFirstS;
    private double mReturningShare = 1;

    ReturnPlan(long nowS) {
        mFirstS = nowS - GRACE_S;
    }

    /** Drops the seconds whose callers are no longer waited for. */
    void advance(long nowS) {
        long first = nowS - GRACE_S;
        if (first - mFirstS >= RING) {
            Arrays.fill(mPlanned, 0);
            Arrays.fill(mMissing, 0);
            mFirstS = first;
        }
        for (; mFirstS < first; mFirstS++) {
            int i = index(mFirstS);
            if (mPlanned[i] > 0) {
                double returned = 1 - (double) mMissing[i] / mPlanned[i];
                mReturningShare += NEWEST_WEIGHT * (returned - mReturningShare);
            }
            mPlanned[i] = 0;
            mMissing[i] = 0;
        }
    }

    /**
     * Second of the first possible return in which less than a limit of work is planned.
     *
     * @param fromS first second that is possible
     * @param toS last second that is possible
     * @return the second, or a negative value if there is none
     */
    long firstFree(long fromS, long toS, long limit) {
        for (long s = fromS; s <= Math.min(toS, mFirstS + MAX_S); s++) {
            if (mPlanned[index(s)] < limit) {
                return s;
            }
        }
        return PlaceTable.NONE;
    }

    void add(long second, long work) {
        mPlanned[index(second)] += work;
        mMissing[index(second)] += work;
    }

    /** Records that a caller has returned. */
    void returned(long second, long work) {
        if (second >= mFirstS) {
            mMissing[index(second)] -= work;
        }
    }

    /** Records that a caller was asked to return in another second. */
    void remove(long second, long work) {
        if (second >= mFirstS) {
            mPlanned[index(second)] -= work;
            mMissing[index(second)] -= work;
        }
    }

    /** Work that is expected back by a second and hasn't returned. */
    long due(long second) {
        long sum = 0;
        for (long s = mFirstS; s <= second; s++) {
            sum += mMissing[index(s)];
        }
        return (long) (mReturningShare * sum);
    }

    private static int index(long second) {
        return (int) Math.floorMod(second, (long) RING);
    }
}
