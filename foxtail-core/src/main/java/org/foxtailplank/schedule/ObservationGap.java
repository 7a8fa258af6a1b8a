package org.foxtailplank.schedule;

/** A time in which no arrivals could be seen, such as a suspension of the process. */
record ObservationGap(long fromMs, long toMs) {
    /** Time around a gap in which a turn may continue unseen, in milliseconds. */
    private static final long MARGIN_MS = 1000;

    /** Whether a turn may have begun or ended in the gap. */
    boolean mayCut(ArrivalTurn turn) {
        return mayCut(turn.beginMs(), turn.endMs());
    }

    /** Whether an expected turn may begin or end in the gap. */
    boolean mayCut(ExpectedTurn turn) {
        return mayCut(turn.beginMs(), turn.endMs());
    }

    private boolean mayCut(long beginMs, long endMs) {
        return beginMs < toMs + MARGIN_MS && endMs > fromMs - MARGIN_MS;
    }
}
