package org.foxtailplank.schedule;

/** A time in which no arrivals could be seen, such as a suspension of the process. */
record ObservationGap(long fromMs, long toMs) {
    /** Time around a gap in which a turn may continue unseen, in milliseconds. */
    private static final long MARGIN_MS = 1000;

    /** Whether a turn may have begun or ended in the gap. */
    boolean mayCut(ArrivalTurn turn) {
        return turn.beginMs() < toMs + MARGIN_MS && turn.endMs() > fromMs - MARGIN_MS;
    }
}
