package org.foxtailplank.load.internal.fleet;

import java.util.Random;

/**
 * How long things take in a placement run, and when the platform is slow or gone.
 *
 * @param lengthMs length of the run
 */
record PlacementTimes(long lengthMs) {

    static final int START_MS = 200;
    static final long STOP_MS = 200;

    private static final long APPEND_MS = 60;
    private static final long CALL_MS = 20;
    private static final long SLOW_FACTOR = 10;
    private static final long SHORTEST_CHECKPOINT_MS = 500;
    private static final double CHECKPOINT_SPREAD = 40;
    private static final long SLOW_MS = 10 * FaultTimes.MINUTE_MS;

    /** An hour of urgent work comes at once when the platform is back. */
    private static final long BACKLOG_MS = 5 * FaultTimes.MINUTE_MS;

    private static final long GONE_MS = 60 * FaultTimes.MINUTE_MS;

    /** From its intent to its place in the folded log. */
    long appendMs(long atMs) {
        return isSlow(atMs) ? SLOW_FACTOR * APPEND_MS : APPEND_MS;
    }

    /** A call to a worker. */
    long callMs(long atMs, Random random) {
        long time = CALL_MS + random.nextInt((int) CALL_MS * 3);
        return isSlow(atMs) ? SLOW_FACTOR * time : time;
    }

    /** Half a second to twenty seconds, most of them short. */
    long checkpointMs(Random random) {
        return (long) (SHORTEST_CHECKPOINT_MS * Math.pow(CHECKPOINT_SPREAD, random.nextDouble()));
    }

    private long slowFromMs() {
        return lengthMs / 4;
    }

    private long goneFromMs() {
        return lengthMs / 2;
    }

    /** When four of ten jobs are cancelled. */
    long cancelMs() {
        return lengthMs * 3 / 8;
    }

    boolean isSlow(long atMs) {
        return atMs >= slowFromMs() && atMs < slowFromMs() + SLOW_MS;
    }

    boolean isGone(long atMs) {
        return atMs >= goneFromMs() && atMs < goneFromMs() + GONE_MS;
    }

    /** Slow, or back for less than the backlog of an outage takes. */
    boolean isTrouble(long atMs) {
        long back = goneFromMs() + GONE_MS;
        boolean isCut = isGone(atMs + PlacementMeter.URGENT_MS);
        return isSlow(atMs) || isCut || atMs >= back && atMs < back + BACKLOG_MS;
    }

    /** The time itself, or that of the platform's return. */
    long afterOutage(long atMs) {
        return isGone(atMs) ? goneFromMs() + GONE_MS : atMs;
    }
}
