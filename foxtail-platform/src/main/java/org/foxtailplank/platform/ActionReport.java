package org.foxtailplank.platform;

/**
 * The last action that the platform took on a VM.
 *
 * @param id id that the asker chose
 * @param action what was asked
 * @param progress how far it is
 */
public record ActionReport(String id, PlatformAction action, Progress progress) {

    /** How far an action is. */
    public enum Progress {
        RUNNING,
        DONE,
        FAILED
    }
}
