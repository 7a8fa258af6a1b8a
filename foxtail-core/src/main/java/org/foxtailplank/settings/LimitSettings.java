package org.foxtailplank.settings;

import java.time.Duration;

/**
 * Limits of the data path.
 *
 * @param maxHeaderBytes largest accepted header block
 * @param maxBodyBytes largest accepted body of a request or answer
 * @param connectionsPerCaller connections that one caller address may hold at an entry
 * @param retryRatio retries that each first attempt earns
 * @param idempotencyWindow time that an idempotency key is protected
 */
public record LimitSettings(
        int maxHeaderBytes,
        long maxBodyBytes,
        int connectionsPerCaller,
        double retryRatio,
        Duration idempotencyWindow) {}
