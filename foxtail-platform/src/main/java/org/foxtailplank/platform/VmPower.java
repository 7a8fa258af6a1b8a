package org.foxtailplank.platform;

/** The power state of a VM. */
public enum VmPower {
    OFF,
    WAKING,
    ON,
    DRAINING,
    REBOOTING,
    FAILED
}
