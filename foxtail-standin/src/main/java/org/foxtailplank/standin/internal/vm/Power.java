package org.foxtailplank.standin.internal.vm;

/** The power state of a VM. */
enum Power {
    OFF,
    WAKING,
    ON,
    DRAINING,
    REBOOTING,
    FAILED
}
