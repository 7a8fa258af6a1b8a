package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** The time between turns, in milliseconds, and how well their distances agree. */
final class TurnPeriod {
    private final List<Long> mDistances = new ArrayList<>();
    private final long mMedianMs;
    private final int mAgreeing;

    /**
     * Computes the period.
     *
     * @param turns turns of a service in their order
     */
    TurnPeriod(List<ArrivalTurn> turns) {
        long shortest = Long.MAX_VALUE;
        long tolerance = 0;
        for (int i = 1; i < turns.size(); i++) {
            shortest = Math.min(shortest, turns.get(i).centerMs() - turns.get(i - 1).centerMs());
            tolerance = Math.max(tolerance, turns.get(i).lengthMs() / 2);
        }
        for (int i = 1; i < turns.size(); i++) {
            long distance = turns.get(i).centerMs() - turns.get(i - 1).centerMs();
            // A distance of several periods has missed turns in it.
            mDistances.add(distance / Math.max(1, Math.round((double) distance / shortest)));
        }
        List<Long> sorted = mDistances.stream().sorted().toList();
        mMedianMs = sorted.isEmpty() ? 0 : sorted.get(sorted.size() / 2);
        int agreeing = 0;
        for (long d : mDistances) {
            agreeing += Math.abs(d - mMedianMs) <= tolerance ? 1 : 0;
        }
        mAgreeing = agreeing;
    }

    /** The period, unless there is none that most of the distances agree with. */
    OptionalLong ms() {
        boolean regular = mAgreeing > 0 && 2 * mAgreeing >= mDistances.size();
        return regular ? OptionalLong.of(mMedianMs) : OptionalLong.empty();
    }

    /**
     * Share of the distances that agree, one more counted against it; 0 for less than two turns.
     */
    double confidence() {
        return (double) mAgreeing / (mDistances.size() + 1);
    }
}
