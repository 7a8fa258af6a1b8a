package org.foxtailplank.entry.internal.idempotency;

import java.time.Duration;
import org.foxtailplank.internal.idempotency.KeyLimits;
import org.foxtailplank.settings.Settings;

/**
 * Options for the protection of keys.
 *
 * @param limits limits on keys and answers
 * @param appendInterval minimum time between two appends of claims
 * @param peerKey secret shared by the entries, used to sign issued keys
 * @param newDeployment whether an empty claims stream is that of a new deployment rather than a
 *     loss
 */
public record KeyOptions(
        KeyLimits limits, Duration appendInterval, String peerKey, boolean newDeployment) {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);
    private static final int MAX_KEYS = 100_000;
    private static final int MAX_ANSWERS = 20_000;
    private static final long MAX_ANSWER_BYTES = 8L << 20;
    private static final double CLAIM_APPEND_SHARE = 0.5;

    /** Derives the options from the settings. */
    public static KeyOptions of(Settings settings, boolean newDeployment) {
        KeyLimits limits =
                new KeyLimits(
                        settings.limits().idempotencyWindow(),
                        RETRY_AFTER,
                        MAX_KEYS,
                        MAX_ANSWERS,
                        MAX_ANSWER_BYTES);
        double appendsPerSecond = settings.platform().appendsPerSecond() * CLAIM_APPEND_SHARE;
        long nanos =
                (long)
                        (settings.nodes().size()
                                / appendsPerSecond
                                * Duration.ofSeconds(1).toNanos());
        return new KeyOptions(
                limits, Duration.ofNanos(nanos), settings.peers().key(), newDeployment);
    }
}
