package org.foxtailplank.state;

/** Lifecycle phases of a VM; in each of them it belongs to exactly one pool. */
public enum VmPhase {
    /** Powered off. */
    OFF,
    /** Powering on. */
    WAKING,
    /** Powered on and in service; the only phase that counts towards an availability budget. */
    SERVING,
    /** Draining, then powering off or rebooting. */
    STOPPING,
    /** Draining to join another pool, or joined and waiting for that pool's service to start. */
    RELEASING,
    /** An action failed, or the VM was observed down. */
    BROKEN;

    /** Returns the phase after a pending action was withdrawn. */
    public VmPhase afterWithdrawal() {
        return switch (this) {
            case WAKING -> OFF;
            case STOPPING -> SERVING;
            default -> this;
        };
    }
}
