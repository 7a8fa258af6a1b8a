package org.foxtailplank.entry.internal.flow;

import java.util.function.ToDoubleFunction;
import org.foxtailplank.internal.admission.AdmissionQueue;
import org.foxtailplank.internal.admission.Ticket;
import org.foxtailplank.internal.retry.RetryBudget;

/** What the entry holds for one service: its queue, its usual time and its retry budget. */
final class Lane {

    private static final double TIME_WEIGHT = 0.05;
    private static final long MAX_WAITING_BYTES = 32L << 20;
    private static final long BYTES_BESIDE_BODY = 2048;

    private final AdmissionQueue<Exchange> mQueue;
    private final RetryBudget mRetries;
    private double mUsualTime;

    Lane(ToDoubleFunction<String> quotas, double retryRatio) {
        mQueue = new AdmissionQueue<>(quotas, MAX_WAITING_BYTES);
        mRetries = new RetryBudget(retryRatio);
    }

    AdmissionQueue<Exchange> queue() {
        return mQueue;
    }

    RetryBudget retries() {
        return mRetries;
    }

    /** Usual time of an attempt, in nanoseconds. */
    long usualTime() {
        return (long) mUsualTime;
    }

    void took(long nanos) {
        mUsualTime += (nanos - mUsualTime) * (mUsualTime == 0 ? 1 : TIME_WEIGHT);
    }

    static Ticket<Exchange> ticket(Exchange x) {
        return new Ticket<>(
                x,
                x.request().requestClass(),
                x.team(),
                x.request().deadline(),
                x.request().body().length + BYTES_BESIDE_BODY);
    }
}
