package org.foxtailplank.schedule;

import java.util.Collection;

/** Holds renewals of a worker's lease while starts that it may execute late are being stopped. */
final class LeaseHold {
    private long mUntilMs = Long.MIN_VALUE;

    /** Holds renewals until the stops are confirmed, but no longer than until a time. */
    void begin(long untilMs) {
        mUntilMs = untilMs;
    }

    /** Whether renewals are held for one of the worker's runs. */
    boolean applies(Collection<TaskRun> runs, long nowMs) {
        return nowMs < mUntilMs && runs.stream().anyMatch(TaskRun::isLateStart);
    }
}
