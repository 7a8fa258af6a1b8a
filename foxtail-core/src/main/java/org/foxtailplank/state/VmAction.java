package org.foxtailplank.state;

/** What the platform is asked to do with a VM. */
public enum VmAction {
    /** Power it on. */
    WAKE,
    /** Drain it, then power it off. */
    SLEEP,
    /** Drain it, then reboot it for maintenance. */
    REBOOT,
    /** Drain it, then start the service of another pool on it. */
    REASSIGN
}
