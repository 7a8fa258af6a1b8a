package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.List;

/**
 * Finds the turns in a service's arrivals.
 *
 * <p>The whole history is searched each time, since its mean is known only after a while: while the
 * first turn lasts, its rate is the mean.
 */
final class ArrivalTurnFinder {
    /** Intervals over which the rate is averaged: a second, half of it on each side. */
    private static final int WINDOW = 10;

    /** Intervals after which the mean is known well enough. */
    private static final int MIN_BINS = 40;

    /** Factor of a turn's highest rate on the mean. */
    private static final double MIN_PEAK = 2.5;

    /** Shortest turn, in intervals; VMs would join too late for a shorter one. */
    private static final int MIN_LENGTH = 8;

    /** Fewest jobs of a turn. */
    private static final int MIN_JOBS = 12;

    /**
     * Jobs of a turn beyond the mean, in standard deviations of the count of independent arrivals.
     * Several hundred windows are searched, so that three would be exceeded by chance.
     */
    private static final double MIN_DEVIATIONS = 5;

    /** Share of a turn's jobs before its beginning, and after its end. */
    private static final double TAIL_SHARE = 0.05;

    private final ArrivalHistory mHistory;
    private final long mFirst;
    private final int mBins;
    private final int[] mSums;

    private ArrivalTurnFinder(ArrivalHistory history) {
        mHistory = history;
        mFirst = history.firstBin();
        mBins = (int) (history.lastBin() - mFirst);
        mSums = new int[mBins + 1];
        for (int i = 0; i < mBins; i++) {
            mSums[i + 1] = mSums[i] + history.jobs(mFirst + i);
        }
    }

    /** Returns the turns in their order; the last one may not be complete. */
    static List<ArrivalTurn> find(ArrivalHistory history) {
        return new ArrivalTurnFinder(history).find();
    }

    private List<ArrivalTurn> find() {
        List<ArrivalTurn> turns = new ArrayList<>();
        int total = mSums[mBins];
        if (mBins < MIN_BINS || total < MIN_JOBS) {
            return turns;
        }
        double mean = (double) total / mBins;
        int i = 0;
        while (i < mBins) {
            if (rate(i) < MIN_PEAK * mean) {
                i++;
                continue;
            }
            int from = i;
            while (from > 0 && rate(from - 1) >= mean) {
                from--;
            }
            int to = i + 1;
            while (to < mBins && rate(to) >= mean) {
                to++;
            }
            int jobs = mSums[to] - mSums[from];
            double usual = mean * (to - from);
            boolean significant = jobs - usual > MIN_DEVIATIONS * Math.sqrt(usual);
            if (jobs >= MIN_JOBS && to - from >= MIN_LENGTH && significant) {
                boolean cut = from == 0 && rate(0) >= MIN_PEAK * mean;
                turns.add(turn(from, to, !cut && to <= mBins - WINDOW / 2));
            }
            i = to;
        }
        return turns;
    }

    /** Mean number of jobs in an interval around this one. */
    private double rate(int i) {
        int from = Math.max(0, i - WINDOW / 2);
        int to = Math.min(mBins, i + WINDOW / 2);
        return (double) (mSums[to] - mSums[from]) / (to - from);
    }

    private ArrivalTurn turn(int from, int to, boolean complete) {
        int jobs = mSums[to] - mSums[from];
        double weighted = 0;
        int begin = -1;
        int end = to;
        for (int i = from; i < to; i++) {
            weighted += (i + 0.5) * mHistory.jobs(mFirst + i);
            int sum = mSums[i + 1] - mSums[from];
            begin = begin < 0 && sum >= TAIL_SHARE * jobs ? i : begin;
            end = sum <= (1 - TAIL_SHARE) * jobs ? i + 1 : end;
        }
        long firstMs = mFirst * ArrivalHistory.BIN_MS;
        return new ArrivalTurn(
                firstMs + begin * ArrivalHistory.BIN_MS,
                firstMs + Math.round(weighted / jobs * ArrivalHistory.BIN_MS),
                firstMs + end * ArrivalHistory.BIN_MS,
                jobs,
                complete);
    }
}
