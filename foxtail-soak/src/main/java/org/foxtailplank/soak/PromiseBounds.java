package org.foxtailplank.soak;

/** Statuses, notes and times by which promises are checked. */
final class PromiseBounds {
    static final int OK = 200;
    static final int UNAUTHORIZED = 401;
    static final String NOW = " now";
    static final String ADDED = " added";
    static final String REVOKED = " revoked";
    static final String BEFORE = " before";
    static final String UNTIL = " until";

    /** From when on no request with a revoked key is served, in milliseconds. */
    static final long REVOKE_MS = 5000;

    /** From when on a configuration is in force, in milliseconds. */
    static final long CONFIG_MS = 3000;

    /** Within this time an owner knows that a cap has fallen, in milliseconds. */
    static final long CAP_KNOWN_MS = 10_000;

    /** By how much a cap may be exceeded, in addition to one task. */
    static final double OVERRUN = 1.1;

    /** From when on an accepted job is known everywhere, in milliseconds. */
    static final long VISIBLE_MS = 3000;

    /** From when on an accepted job that hasn't begun counts as waiting, in milliseconds. */
    static final long WAITING_MS = 5000;

    /**
     * Until when tasks of a cancelled job may start: 4 s, and 3 s that a start command may be late.
     */
    static final long CANCEL_MS = 7000;

    /** Within this time after its last run a standing task is to run again, in milliseconds. */
    static final long RESTART_MS = 6000;

    /** Time until a standing task that was started is at work, in milliseconds. */
    static final long STARTUP_MS = 200;

    /** From when on after the loss of all nodes jobs are to be accepted, in milliseconds. */
    static final long RECOVERY_MS = 12_000;

    /** One of so many at least is accepted then. */
    static final long SERVED_PART = 4;

    /** Crashes of workers under a task from which on its job may be shown as failed. */
    static final int CRASHES_TO_GIVE_UP = 2;

    /** Crashes of workers under a task after which few starts more are allowed. */
    static final int CRASHES_BEFORE_LAST_STARTS = 3;

    static final int LAST_STARTS = 2;

    /** Within this time an owner knows that a worker's capacity has shrunk, in milliseconds. */
    static final long CAPACITY_KNOWN_MS = 10_000;

    private PromiseBounds() {}
}
