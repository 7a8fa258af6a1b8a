package org.foxtailplank.schedule;

import java.util.Random;
import org.foxtailplank.internal.membership.Backoff;
import org.foxtailplank.job.AdviceTiming;

/**
 * Bounds the load on the placement advice service.
 *
 * <p>The service handles one request at a time and finishes those whose caller has given up.
 * Requests that are sent while others wait, or repeated at once after a timeout, would fill its
 * queue until each answer comes too late. So one request is under way at a time, its timeout
 * follows from the service's response time, and failures are followed by a growing pause.
 */
final class AdvicePacer {
    /** Part of a timeout that covers the network and a service that is slower than usual. */
    private static final long TIMEOUT_RESERVE_MS = 1000;

    /** Multiple of the service's usual response time in a timeout. */
    private static final int TIMEOUT_FACTOR = 2;

    /** Most doublings of the timeout after failures. */
    private static final int MAX_TIMEOUT_DOUBLINGS = 3;

    private static final long FIRST_PAUSE_MS = 100;
    private static final long MAX_PAUSE_MS = 5000;

    private final Backoff mBackoff;
    private boolean mUnderWay;
    private long mSentMs;
    private long mUsualMs;

    /** Response time of the last answer, as a multiple of the usual one; at least 1. */
    private double mSlowdown = 1;

    private int mFailures;
    private long mPausedUntilMs = Long.MIN_VALUE / 2;

    AdvicePacer(Random random) {
        mBackoff = new Backoff(FIRST_PAUSE_MS, MAX_PAUSE_MS, random);
    }

    /** Whether a request may be sent now. */
    boolean isReady(long nowMs) {
        return !mUnderWay && nowMs >= mPausedUntilMs;
    }

    /** Records that a request is sent; returns its timeout in milliseconds. */
    long begin(AdviceTiming timing, int workers, long nowMs) {
        mUnderWay = true;
        mSentMs = nowMs;
        mUsualMs = Math.max(1, timing.baseMs() + timing.perWorkerMs() * workers);
        long expectedMs = (long) (mUsualMs * mSlowdown);
        long timeoutMs = TIMEOUT_RESERVE_MS + TIMEOUT_FACTOR * expectedMs;
        return timeoutMs << Math.min(mFailures, MAX_TIMEOUT_DOUBLINGS);
    }

    void answered(long nowMs) {
        mUnderWay = false;
        mFailures = 0;
        mSlowdown = Math.max(1, (double) (nowMs - mSentMs) / mUsualMs);
        mBackoff.reset();
    }

    /** Records that the request was rejected or timed out. */
    void failed(long nowMs) {
        mUnderWay = false;
        mFailures++;
        mPausedUntilMs = nowMs + mBackoff.next();
    }
}
