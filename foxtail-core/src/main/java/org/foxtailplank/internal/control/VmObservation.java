package org.foxtailplank.internal.control;

import java.time.Duration;
import java.util.Optional;

/**
 * What a controller sees of one VM now.
 *
 * @param report the platform's word
 * @param hasInstance whether the platform says that a backend server runs on it
 * @param willServe whether a backend server is expected on it after the action
 * @param tasks tasks that it may be running
 * @param backend the backend server's own word; empty when it does not answer
 * @param draining time for which this controller has seen it leaving
 * @param ended time for which this controller has seen the action ended at the platform
 */
public record VmObservation(
        VmAtPlatform report,
        boolean hasInstance,
        boolean willServe,
        int tasks,
        Optional<BackendReport> backend,
        Duration draining,
        Duration ended) {}
