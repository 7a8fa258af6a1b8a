package org.foxtailplank.entry.internal.idempotency;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.time.Instant;
import org.foxtailplank.internal.idempotency.KeyCoordinator;
import org.foxtailplank.internal.idempotency.KeyedAnswer;
import org.foxtailplank.request.Outcome;

/** Metrics of idempotency keys. */
final class KeyMetrics {

    private final Meter mAppends;
    private final Counter mOk;
    private final Counter mNotRun;
    private final Counter mUnknown;
    private volatile int mProtected;
    private volatile int mClaimable;
    private volatile int mPending;
    private volatile int mAnswers;
    private volatile long mAnswerBytes;

    KeyMetrics(MetricRegistry metrics) {
        mAppends = metrics.meter("keys.appends");
        mOk = metrics.counter("keys.answers.ok");
        mNotRun = metrics.counter("keys.answers.not-run");
        mUnknown = metrics.counter("keys.answers.unknown");
        metrics.registerGauge("keys.protected", (Gauge<Integer>) () -> mProtected);
        metrics.registerGauge("keys.taken", (Gauge<Integer>) () -> mClaimable);
        metrics.registerGauge("keys.pending", (Gauge<Integer>) () -> mPending);
        metrics.registerGauge("keys.remembered", (Gauge<Integer>) () -> mAnswers);
        metrics.registerGauge("keys.remembered-bytes", (Gauge<Long>) () -> mAnswerBytes);
    }

    Meter appends() {
        return mAppends;
    }

    void count(KeyedAnswer answer) {
        Outcome outcome = answer.outcome();
        (outcome == Outcome.OK ? mOk : outcome == Outcome.NOT_RUN ? mNotRun : mUnknown).inc();
    }

    void update(KeyCoordinator coordinator, Instant now) {
        mClaimable = coordinator.claimRefusal(now).isEmpty() ? 1 : 0;
        mProtected = coordinator.protectedKeys();
        mPending = coordinator.pendingClaims();
        mAnswers = coordinator.cachedAnswers();
        mAnswerBytes = coordinator.cachedBytes();
    }
}
