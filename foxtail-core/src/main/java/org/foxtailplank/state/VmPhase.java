package org.foxtailplank.state;

/** Where a VM is in its life; it is in exactly one pool in each phase. */
public enum VmPhase {
    /** Powered off. */
    OFF,
    /** Asked to power on. */
    WAKING,
    /** Powered on and in service. */
    SERVING,
    /** Drained, then powered off or rebooted. */
    STOPPING,
    /** Drained to join another pool. */
    RELEASING,
    /** An action failed; it needs attention. */
    BROKEN
}
