package org.foxtailplank.schedule;

import java.util.List;

/** A turn that a service's earlier turns let expect, and what of it has come. */
final class ExpectedTurn {
    /** Earlier turns that give the expected load, each with twice the weight of the one before. */
    private static final int MAX_BASIS = 3;

    /** Time before a turn's beginning and after its end in which its first and last jobs arrive. */
    private static final long MARGIN_MS = 800;

    /**
     * Time after the expected beginning until which the turn must show, in milliseconds. A longer
     * one would keep VMs for a wrong forecast for more than two seconds.
     */
    private static final long SHOW_MS = 500;

    /** Share of the expected jobs that shows that the turn has come. */
    private static final double SHOWN_SHARE = 0.1;

    /** Fewest jobs that show it. */
    private static final int MIN_SHOWN_JOBS = 4;

    /** Expected jobs from which on their actual number tells the size of the turn. */
    private static final double MIN_SIZING_JOBS = 10;

    /** Bounds of the turn's size in relation to the earlier ones. */
    private static final double MIN_SCALE = 0.5;

    private static final double MAX_SCALE = 2;

    private final ArrivalHistory mHistory;
    private final List<ArrivalTurn> mBasis;
    private final long mCenterMs;
    private final long mBeginMs;
    private final long mEndMs;
    private final long mToleranceMs;
    private State mState = State.EXPECTED;

    private enum State {
        EXPECTED,
        SHOWN,
        WITHDRAWN
    }

    /**
     * Creates an expectation.
     *
     * @param turns earlier turns, at least one
     * @param centerMs expected mean time of arrival of the turn's jobs
     */
    ExpectedTurn(ArrivalHistory history, List<ArrivalTurn> turns, long centerMs) {
        mHistory = history;
        mBasis = List.copyOf(turns.subList(Math.max(0, turns.size() - MAX_BASIS), turns.size()));
        mCenterMs = centerMs;
        long before = 0;
        long after = 0;
        for (ArrivalTurn t : mBasis) {
            before += t.centerMs() - t.beginMs();
            after += t.endMs() - t.centerMs();
        }
        mBeginMs = centerMs - before / mBasis.size();
        mEndMs = centerMs + after / mBasis.size();
        mToleranceMs = (mEndMs - mBeginMs) / 2;
    }

    long centerMs() {
        return mCenterMs;
    }

    long beginMs() {
        return mBeginMs;
    }

    long endMs() {
        return mEndMs;
    }

    /** Whether the turn has begun as expected. */
    boolean isShown() {
        return mState == State.SHOWN;
    }

    /** Whether the turn did not begin as expected. */
    boolean isWithdrawn() {
        return mState == State.WITHDRAWN;
    }

    /** Whether a turn may be the expected one. */
    boolean matches(ArrivalTurn turn) {
        return Math.abs(turn.centerMs() - mCenterMs) <= mToleranceMs;
    }

    /** Whether a turn was over before the expected one could begin. */
    boolean isAfter(ArrivalTurn turn) {
        return turn.centerMs() < mCenterMs - mToleranceMs;
    }

    /** Whether a turn is one of those that the expectation is based on, or earlier. */
    boolean isBasedOn(ArrivalTurn turn) {
        return turn.beginMs() < mBasis.get(mBasis.size() - 1).endMs();
    }

    /** Whether the expected turn, even if late, must have been found. */
    boolean isOver(long nowMs) {
        return nowMs > mEndMs + mToleranceMs + MARGIN_MS;
    }

    /** Whether one of these gaps may hide a part of the turn. */
    boolean isCutBy(List<ObservationGap> gaps) {
        return gaps.stream().anyMatch(g -> g.mayCut(this));
    }

    /** Compares the arrivals until now with those expected. */
    void observe(long nowMs) {
        if (mState != State.EXPECTED) {
            return;
        }
        double enough = Math.max(MIN_SHOWN_JOBS, SHOWN_SHARE * jobsOfEarlierTurns());
        if (mHistory.jobs(countedFromMs(), nowMs) >= enough) {
            mState = State.SHOWN;
        } else if (nowMs >= mBeginMs + SHOW_MS) {
            mState = State.WITHDRAWN;
        }
    }

    /** Time from which on arrivals are counted for the turn. */
    private long countedFromMs() {
        return mBeginMs - mToleranceMs;
    }

    private double jobsOfEarlierTurns() {
        double jobs = 0;
        double weights = 0;
        double weight = 1;
        for (ArrivalTurn t : mBasis) {
            jobs += weight * t.jobs();
            weights += weight;
            weight *= 2;
        }
        return jobs / weights;
    }

    /** Demand expected to arrive from one time until another, in thousandths of a core. */
    double milliCores(long fromMs, long toMs) {
        return mean(fromMs, toMs, mHistory::milliCores);
    }

    /** Demand that has arrived for the turn, in thousandths of a core. */
    double actualMilliCores(long nowMs) {
        return mHistory.milliCores(countedFromMs(), nowMs);
    }

    /** Demand that was expected to have arrived for the turn, in thousandths of a core. */
    double expectedMilliCores(long nowMs) {
        return milliCores(countedFromMs(), nowMs);
    }

    /** Size of the turn in relation to the earlier ones, 1 as long as it isn't known. */
    double scale(long nowMs) {
        double expected = mean(countedFromMs(), nowMs, mHistory::jobs);
        if (mState != State.SHOWN || expected < MIN_SIZING_JOBS) {
            return 1;
        }
        double actual = mHistory.jobs(countedFromMs(), nowMs);
        return Math.max(MIN_SCALE, Math.min(MAX_SCALE, actual / expected));
    }

    /** Sums up something of the history between two times. */
    private interface Sum {
        double of(long fromMs, long toMs);
    }

    private double mean(long fromMs, long toMs, Sum of) {
        double sum = 0;
        double weights = 0;
        double weight = 1;
        for (ArrivalTurn t : mBasis) {
            long shiftMs = t.centerMs() - mCenterMs;
            long from = Math.max(fromMs + shiftMs, t.beginMs() - MARGIN_MS);
            long to = Math.min(toMs + shiftMs, t.endMs() + MARGIN_MS);
            sum += weight * of.of(from, to);
            weights += weight;
            weight *= 2;
        }
        return sum / weights;
    }
}
