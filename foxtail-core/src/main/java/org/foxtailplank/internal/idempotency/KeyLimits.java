package org.foxtailplank.internal.idempotency;

import java.time.Duration;

/**
 * Bounds of one entry's memory of keys.
 *
 * @param window time that a key is protected after its last claim; the log must keep its records
 *     for at least twice as long
 * @param retryAfter when to come back after a refusal that will pass
 * @param maxKeys keys protected at once
 * @param maxAnswers answers remembered at once
 * @param maxAnswerBytes bytes of answers remembered at once
 */
public record KeyLimits(
        Duration window, Duration retryAfter, int maxKeys, int maxAnswers, long maxAnswerBytes) {}
