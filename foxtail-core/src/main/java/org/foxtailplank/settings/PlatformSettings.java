package org.foxtailplank.settings;

import java.net.URI;
import java.time.Duration;

/**
 * Where the platform answers, and how much of it the system may use.
 *
 * @param address base address of the platform's HTTP interface
 * @param timeout time after which a call counts as unanswered
 * @param appendsPerSecond appends a second for all nodes together
 * @param retention time that the log keeps a record
 */
public record PlatformSettings(
        URI address, Duration timeout, int appendsPerSecond, Duration retention) {}
