package org.foxtailplank.state;

/** Where a VM is in its life; it is in exactly one pool in each phase. */
public enum VmPhase {
    /** Powered off. */
    OFF,
    /** Asked to power on. */
    WAKING,
    /** Powered on and in service; the only phase that counts towards an availability budget. */
    SERVING,
    /** Drained, then powered off or rebooted. */
    STOPPING,
    /** Drained to join another pool, or joined and waiting for that pool's service to start. */
    RELEASING,
    /** An action failed or it was seen down; it needs attention. */
    BROKEN;

    /** Phase after a pending action was withdrawn. */
    public VmPhase withdrawn() {
        return switch (this) {
            case WAKING -> OFF;
            case STOPPING -> SERVING;
            default -> this;
        };
    }
}
