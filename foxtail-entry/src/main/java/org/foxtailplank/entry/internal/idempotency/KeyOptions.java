package org.foxtailplank.entry.internal.idempotency;

import java.time.Duration;
import org.foxtailplank.internal.idempotency.KeyLimits;
import org.foxtailplank.settings.Settings;

/**
 * How an entry protects keys.
 *
 * @param limits bounds of its memory
 * @param appendInterval least time between two appends of claims
 * @param peerKey key that the entries share, by which issued keys are signed
 * @param newDeployment whether an empty claims stream was never written, rather than lost
 */
public record KeyOptions(
        KeyLimits limits, Duration appendInterval, String peerKey, boolean newDeployment) {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);
    private static final int MAX_KEYS = 100_000;
    private static final int MAX_ANSWERS = 20_000;
    private static final long MAX_ANSWER_BYTES = 8L << 20;
    private static final double SHARE_OF_APPENDS = 0.5;

    /** The options that follow from the settings. */
    public static KeyOptions of(Settings settings, boolean newDeployment) {
        KeyLimits limits =
                new KeyLimits(
                        settings.limits().idempotencyWindow(),
                        RETRY_AFTER,
                        MAX_KEYS,
                        MAX_ANSWERS,
                        MAX_ANSWER_BYTES);
        double appends = settings.platform().appendsPerSecond() * SHARE_OF_APPENDS;
        long nanos = (long) (settings.nodes().size() / appends * Duration.ofSeconds(1).toNanos());
        return new KeyOptions(
                limits, Duration.ofNanos(nanos), settings.peers().key(), newDeployment);
    }
}
