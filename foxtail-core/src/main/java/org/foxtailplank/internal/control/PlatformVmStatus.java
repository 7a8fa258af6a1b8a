package org.foxtailplank.internal.control;

import java.util.Optional;

/**
 * Status of one VM as reported by the platform.
 *
 * @param power power state
 * @param leaving whether the platform lists it as leaving
 * @param generation highest generation of an action that the platform has accepted
 * @param lastAction the last action that the platform has accepted
 */
public record PlatformVmStatus(
        Power power, boolean leaving, long generation, Optional<ReportedAction> lastAction) {
    /** Power states of a VM. */
    public enum Power {
        /** The VM is powered off. */
        DOWN,
        /** The VM is starting or stopping. */
        CHANGING,
        /** The VM is powered on; a backend server may be running. */
        UP
    }

    /** Progress of an action at the platform. */
    public enum Progress {
        RUNNING,
        DONE,
        FAILED
    }

    /**
     * An action that the platform has accepted.
     *
     * @param id id of the call that requested it
     * @param progress progress of the action
     */
    public record ReportedAction(String id, Progress progress) {}
}
