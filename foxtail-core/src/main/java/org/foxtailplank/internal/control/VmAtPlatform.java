package org.foxtailplank.internal.control;

import java.util.Optional;

/**
 * What the platform says of one VM now.
 *
 * @param power whether it is powered
 * @param leaving whether the platform lists it as leaving
 * @param generation highest generation of an action that the platform has taken
 * @param lastAction the last action that the platform has taken
 */
public record VmAtPlatform(
        Power power, boolean leaving, long generation, Optional<ReportedAction> lastAction) {
    /** Whether a VM is powered, as far as a stop has to know. */
    public enum Power {
        /** Nothing runs on it. */
        DOWN,
        /** It is on its way up or down. */
        CHANGING,
        /** A backend server may be running on it. */
        UP
    }

    /** How far the platform is with an action. */
    public enum Progress {
        RUNNING,
        DONE,
        FAILED
    }

    /**
     * An action that the platform has taken.
     *
     * @param id id under which it was asked for
     * @param progress how far it is
     */
    public record ReportedAction(String id, Progress progress) {}
}
