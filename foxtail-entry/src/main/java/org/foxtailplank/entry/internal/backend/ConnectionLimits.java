package org.foxtailplank.entry.internal.backend;

import java.time.Duration;

/**
 * Limits of connections to backend servers.
 *
 * @param connectTimeout timeout for establishing a connection
 * @param maxBodyBytes maximum size of an answer's body
 * @param maxIdle maximum idle time of a connection that is reused
 */
public record ConnectionLimits(Duration connectTimeout, long maxBodyBytes, Duration maxIdle) {}
