package org.foxtailplank.entry.internal.backend;

import java.time.Duration;

/**
 * Limits of connections to backend servers.
 *
 * @param connectTimeout longest wait for a connection
 * @param maxBodyBytes largest accepted body of an answer
 * @param maxIdle longest time that a kept connection may have been idle when it is used again
 */
public record ConnectionLimits(Duration connectTimeout, long maxBodyBytes, Duration maxIdle) {}
