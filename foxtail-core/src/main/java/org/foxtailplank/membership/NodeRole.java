package org.foxtailplank.membership;

/** Role of a node in the cluster. */
public enum NodeRole {
    /** Accepts requests from callers. */
    ENTRY,
    /** Manages the fleet of VMs. */
    CONTROL
}
