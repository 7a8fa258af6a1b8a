package org.foxtailplank.internal.idempotency;

import java.time.Duration;

/**
 * Limits on the keys and answers that one entry holds.
 *
 * @param window time that a key is protected after its last claim; the log must keep its records
 *     for at least twice as long
 * @param retryAfter delay to advise after a temporary refusal
 * @param maxKeys maximum number of protected keys
 * @param maxAnswers maximum number of cached answers
 * @param maxAnswerBytes maximum total size of cached answers
 */
public record KeyLimits(
        Duration window, Duration retryAfter, int maxKeys, int maxAnswers, long maxAnswerBytes) {}
