package org.foxtailplank.membership;

/** What a process of the system does. */
public enum NodeRole {
    /** Takes callers' requests. */
    ENTRY,
    /** Plans and acts on the fleet. */
    CONTROL
}
