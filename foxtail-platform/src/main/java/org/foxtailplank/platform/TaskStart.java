package org.foxtailplank.platform;

import java.time.Duration;

/**
 * A task to be started.
 *
 * @param task the task
 * @param attempt attempt number; fences earlier ones
 * @param lease time after which the worker stops it unless it is renewed
 * @param processors declared processor cores
 * @param memoryBytes declared memory
 * @param accelerators declared accelerators
 */
public record TaskStart(
        TaskId task,
        long attempt,
        Duration lease,
        int processors,
        long memoryBytes,
        int accelerators) {}
