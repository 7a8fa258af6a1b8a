package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.foxtailplank.schedule.BurstForecastResult.Outcome;

/** The turns of a service, and the next one that they let expect. */
final class ServiceTurns {
    private final String mService;
    private final ArrivalHistory mHistory = new ArrivalHistory();
    private List<ArrivalTurn> mFound = List.of();
    private List<ArrivalTurn> mComplete = List.of();
    private Optional<ExpectedTurn> mExpected = Optional.empty();
    private boolean mDropped;

    /**
     * Creates a service without turns.
     *
     * @param startMs time since which its arrivals have been observed, even before the first one
     */
    ServiceTurns(String service, long startMs) {
        mService = service;
        mHistory.advance(startMs);
    }

    ArrivalHistory history() {
        return mHistory;
    }

    /** Finds the turns in the arrivals until now, without those that a gap in them may have cut. */
    void find(List<ObservationGap> gaps, long nowMs) {
        mHistory.advance(nowMs);
        mFound = ArrivalTurnFinder.find(mHistory);
        List<ArrivalTurn> complete = new ArrayList<>();
        for (ArrivalTurn t : mFound) {
            if (t.complete() && gaps.stream().noneMatch(g -> g.mayCut(t))) {
                complete.add(t);
            }
        }
        mComplete = complete;
    }

    /** The next turn, or the present one if it was expected. */
    Optional<ExpectedTurn> expected() {
        return mExpected;
    }

    /** Whether the last expected turn didn't come, or can't have been seen. */
    boolean isDropped() {
        return mDropped;
    }

    /** Doesn't use the forecast until a turn has come as expected. */
    void drop() {
        mDropped = true;
        mExpected = Optional.empty();
    }

    /** Doesn't expect a turn that a gap may hide, as it would count as missed. */
    void skipIfCut(ObservationGap gap) {
        mExpected = mExpected.filter(t -> !gap.mayCut(t));
    }

    /** Time between the turns, if at least two have been seen and their distances agree. */
    OptionalLong periodMs() {
        return new TurnPeriod(mComplete).ms();
    }

    double confidence() {
        return mDropped ? 0 : new TurnPeriod(mComplete).confidence();
    }

    /** Whether the service's turn came again after this time, or has begun to. */
    boolean hasReturned(long periodMs) {
        if (mComplete.isEmpty() || mFound.size() < 2) {
            return false;
        }
        ArrivalTurn last = mFound.get(mFound.size() - 1);
        return mComplete.stream()
                .anyMatch(
                        t ->
                                t != last
                                        && Math.abs(last.beginMs() - t.beginMs() - periodMs)
                                                <= t.lengthMs() / 2);
    }

    /**
     * Begins to expect the next turn after this period that no gap may hide, unless one is expected
     * already.
     */
    void expectNext(OptionalLong periodMs, List<ObservationGap> gaps, long nowMs) {
        if (mExpected.isPresent() || mComplete.isEmpty() || periodMs.isEmpty()) {
            return;
        }
        long center = mComplete.get(mComplete.size() - 1).centerMs() + periodMs.getAsLong();
        ExpectedTurn next = new ExpectedTurn(mHistory, mComplete, center);
        while (next.isOver(nowMs) || next.isCutBy(gaps)) {
            center += periodMs.getAsLong();
            next = new ExpectedTurn(mHistory, mComplete, center);
        }
        mExpected = Optional.of(next);
    }

    /** Compares the arrivals with the expected turn; returns what is known since this call. */
    Optional<BurstForecastResult> compare(long nowMs) {
        if (mExpected.isEmpty()) {
            return Optional.empty();
        }
        ExpectedTurn turn = mExpected.get();
        boolean known = turn.isWithdrawn();
        turn.observe(nowMs);
        Optional<Outcome> outcome = outcome(turn, known, nowMs);
        Optional<BurstForecastResult> result = outcome.map(o -> result(turn, o, nowMs));
        boolean missed = outcome.isPresent() && !outcome.get().confirms();
        mDropped = missed || mDropped && outcome.isEmpty();
        boolean over = outcome.isPresent() && outcome.get() != Outcome.MISSED;
        if (over || turn.isOver(nowMs)) {
            mExpected = Optional.empty();
        }
        return result;
    }

    private Optional<Outcome> outcome(ExpectedTurn turn, boolean knownAsMissed, long nowMs) {
        if (mComplete.stream().anyMatch(turn::matches)) {
            return Optional.of(turn.isWithdrawn() ? Outcome.LATE : Outcome.RETURNED);
        }
        if (cameEarly(turn)) {
            return Optional.of(Outcome.EARLY);
        }
        boolean missed = turn.isWithdrawn() || turn.isOver(nowMs);
        return missed && !knownAsMissed ? Optional.of(Outcome.MISSED) : Optional.empty();
    }

    /** Whether a turn that the expectation isn't based on was over before the expected one. */
    private boolean cameEarly(ExpectedTurn turn) {
        ArrivalTurn last = mComplete.isEmpty() ? null : mComplete.get(mComplete.size() - 1);
        return last != null && turn.isAfter(last) && !turn.isBasedOn(last);
    }

    private BurstForecastResult result(ExpectedTurn turn, Outcome outcome, long nowMs) {
        return new BurstForecastResult(
                mService,
                outcome,
                !mDropped,
                new TurnPeriod(mComplete).confidence(),
                Math.round(turn.expectedMilliCores(nowMs)),
                Math.round(turn.actualMilliCores(nowMs)));
    }
}
