package org.foxtailplank.internal.control;

import java.time.Duration;
import java.util.Optional;

/**
 * A controller's current observation of one VM.
 *
 * @param report the platform's report
 * @param hasInstance whether the platform reports a backend server on the VM
 * @param willServe whether a backend server is expected on the VM after the action
 * @param tasks number of tasks that it may be running
 * @param backend the backend server's own report; empty if it does not answer
 * @param draining time for which this controller has observed it as leaving
 * @param ended time for which this controller has observed the action as ended at the platform
 */
public record VmObservation(
        PlatformVmStatus report,
        boolean hasInstance,
        boolean willServe,
        int tasks,
        Optional<BackendReport> backend,
        Duration draining,
        Duration ended) {}
