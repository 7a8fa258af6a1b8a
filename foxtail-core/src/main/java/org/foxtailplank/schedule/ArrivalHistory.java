package org.foxtailplank.schedule;

/** Arrivals of a service's jobs in the last minute, by intervals of a tenth of a second. */
final class ArrivalHistory {
    /** Length of an interval, in milliseconds; short compared with the time a VM needs to join. */
    static final long BIN_MS = 100;

    /** Intervals that are kept. A period can be learned if two of its turns are kept. */
    private static final int BINS = 640;

    /** Time for which arrivals are kept, in milliseconds. */
    static final long LENGTH_MS = BINS * BIN_MS;

    private final int[] mJobs = new int[BINS];
    private final double[] mMilliCores = new double[BINS];
    private long mFirst = -1;
    private long mLast = -1;

    /** Records the arrival of a job that needs this many thousandths of a core. */
    void record(double milliCores, long nowMs) {
        advance(nowMs);
        int slot = slot(mLast);
        mJobs[slot]++;
        mMilliCores[slot] += milliCores;
    }

    /** Notes that no other job has arrived until now. */
    void advance(long nowMs) {
        long bin = nowMs / BIN_MS;
        if (mLast < 0) {
            mFirst = bin;
            mLast = bin;
        }
        for (long b = Math.max(mLast + 1, bin - BINS + 1); b <= bin; b++) {
            mJobs[slot(b)] = 0;
            mMilliCores[slot(b)] = 0;
        }
        mLast = Math.max(mLast, bin);
    }

    private static int slot(long bin) {
        return (int) (bin % BINS);
    }

    /** First interval that is kept. */
    long firstBin() {
        return Math.max(mFirst, mLast - BINS + 1);
    }

    /** The present interval, which is not complete. */
    long lastBin() {
        return mLast;
    }

    /** Number of jobs that arrived in an interval; 0 if it isn't kept. */
    int jobs(long bin) {
        return isKept(bin) ? mJobs[slot(bin)] : 0;
    }

    /** Demand that arrived in an interval, in thousandths of a core; 0 if it isn't kept. */
    double milliCores(long bin) {
        return isKept(bin) ? mMilliCores[slot(bin)] : 0;
    }

    /** Number of jobs that arrived from one time until another. */
    int jobs(long fromMs, long toMs) {
        int sum = 0;
        for (long b = fromMs / BIN_MS; b < toMs / BIN_MS; b++) {
            sum += jobs(b);
        }
        return sum;
    }

    /** Demand that arrived from one time until another, in thousandths of a core. */
    double milliCores(long fromMs, long toMs) {
        double sum = 0;
        for (long b = fromMs / BIN_MS; b < toMs / BIN_MS; b++) {
            sum += milliCores(b);
        }
        return sum;
    }

    private boolean isKept(long bin) {
        return bin >= firstBin() && bin <= mLast && mLast >= 0;
    }
}
