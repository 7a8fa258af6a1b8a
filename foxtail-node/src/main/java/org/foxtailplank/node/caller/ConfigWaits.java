package org.foxtailplank.node.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.OperatorFollower;
import org.foxtailplank.node.Timers;

/**
 * Requests that wait for a newer configuration, or for proof that the current one is the newest.
 *
 * <p>As long as some wait, the operator's changes are read in addition to the long poll, whose
 * connection may have failed silently. A second read is sent while the first one is pending, for
 * the same reason and for requests that have arrived since, but no third one: it would add to the
 * load of a slow store or of a full link.
 */
final class ConfigWaits {
    /** Delay between two additional reads, in milliseconds. */
    private static final long READ_INTERVAL_MS = 50;

    /** Least delay between two additional reads, however many requests arrive, in milliseconds. */
    private static final long MIN_READ_INTERVAL_MS = 20;

    private static final int MAX_PENDING_READS = 2;
    private static final long NO_READ = Long.MAX_VALUE;

    private final OperatorFollower mOperator;
    private final Clock mClock;
    private final Timers mTimers;
    private final List<Wait> mWaits = new ArrayList<>();
    private long mLastReadMs = Long.MIN_VALUE / 2;
    private long mNextReadMs = NO_READ;
    private int mPendingReads;

    /** State of what a request waits for. */
    enum Progress {
        PENDING,
        DONE,
        /** It can't be had in time. */
        FAILED
    }

    private record Wait(Supplier<Progress> progress, Runnable callback) {}

    ConfigWaits(OperatorFollower operator, Clock clock, Timers timers) {
        mOperator = operator;
        mClock = clock;
        mTimers = timers;
        operator.addListener(this::update);
    }

    /**
     * Waits until a condition is no longer pending, or the time is over.
     *
     * @param progress evaluated after each read and each message of a peer
     * @param maxWaitMs longest wait, in milliseconds
     * @param readDelayMs time after which the changes are read, in milliseconds
     * @param callback called once, at once if the condition isn't pending
     */
    void await(Supplier<Progress> progress, long maxWaitMs, long readDelayMs, Runnable callback) {
        if (progress.get() != Progress.PENDING) {
            callback.run();
            return;
        }
        Wait wait = new Wait(progress, callback);
        mWaits.add(wait);
        mTimers.after(
                maxWaitMs,
                () -> {
                    if (mWaits.remove(wait)) {
                        callback.run();
                    }
                });
        scheduleRead(readDelayMs);
    }

    private void update() {
        List<Wait> over =
                mWaits.stream().filter(w -> w.progress().get() != Progress.PENDING).toList();
        mWaits.removeAll(over);
        over.forEach(w -> w.callback().run());
    }

    private void scheduleRead(long delayMs) {
        long now = mClock.nowMs();
        long readMs = Math.max(now + delayMs, mLastReadMs + MIN_READ_INTERVAL_MS);
        if (readMs >= mNextReadMs) {
            return;
        }
        mNextReadMs = readMs;
        if (readMs <= now) {
            read();
        } else {
            mTimers.after(readMs - now, this::readIfDue);
        }
    }

    private void readIfDue() {
        if (mClock.nowMs() >= mNextReadMs) {
            read();
        }
    }

    private void read() {
        mNextReadMs = NO_READ;
        if (mWaits.isEmpty() || mPendingReads >= MAX_PENDING_READS) {
            return;
        }
        mLastReadMs = mClock.nowMs();
        mPendingReads++;
        mOperator.refresh(this::readCompleted);
        if (!mWaits.isEmpty()) {
            scheduleRead(READ_INTERVAL_MS);
        }
    }

    private void readCompleted() {
        mPendingReads--;
        if (!mWaits.isEmpty()) {
            scheduleRead(0);
        }
    }
}
