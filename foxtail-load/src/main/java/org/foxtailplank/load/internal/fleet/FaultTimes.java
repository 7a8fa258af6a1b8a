package org.foxtailplank.load.internal.fleet;

/** When faults are on in a run of a day; the same for every policy. */
final class FaultTimes {

    static final long HOUR_MS = 3_600_000;
    static final long MINUTE_MS = 60_000;
    static final long DAY_MS = 24 * HOUR_MS;

    /** Time for which a lost rack is away. */
    static final long RACK_AWAY_MS = 30 * MINUTE_MS;

    /** Time after which a VM that failed by itself serves again. */
    static final long REPAIR_MS = 60 * MINUTE_MS;

    /** Time after which an operator resumes a paused wave. */
    static final long RESUME_MS = 10 * MINUTE_MS;

    /** VMs that fail in a day, for each VM. */
    static final double FAILURES_A_DAY = 200.0 / 15_000;

    /** Share of reboots that fail. */
    static final double FAILED_REBOOTS = 0.002;

    private FaultTimes() {}

    static boolean isPlatformGone(long atMs) {
        return atMs >= 15 * HOUR_MS && atMs < 16 * HOUR_MS;
    }

    static boolean isPlatformSlow(long atMs) {
        return atMs >= 13 * HOUR_MS && atMs < 13 * HOUR_MS + 10 * MINUTE_MS;
    }

    /** Two operators set the target of one pool against each other, each minute. */
    static boolean doOperatorsRace(long atMs) {
        return atMs >= 18 * HOUR_MS && atMs < 18 * HOUR_MS + 30 * MINUTE_MS;
    }
}
