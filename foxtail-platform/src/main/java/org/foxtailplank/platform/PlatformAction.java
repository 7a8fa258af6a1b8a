package org.foxtailplank.platform;

/** What the platform does with a VM; all but {@link #WAKE} drain it first. */
public enum PlatformAction {
    WAKE,
    SLEEP,
    REBOOT,
    REASSIGN,
    DRAIN
}
