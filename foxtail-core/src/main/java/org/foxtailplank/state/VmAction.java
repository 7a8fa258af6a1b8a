package org.foxtailplank.state;

import java.util.Optional;

/** Actions on a VM that the platform executes. */
public enum VmAction {
    /** Power it on. */
    WAKE {
        @Override
        public Optional<VmPhase> pendingPhase(VmPhase phase) {
            return switch (phase) {
                case OFF -> Optional.of(VmPhase.WAKING);
                case BROKEN -> Optional.of(phase);
                default -> Optional.empty();
            };
        }
    },
    /** Drain it, then power it off. */
    SLEEP {
        @Override
        public Optional<VmPhase> pendingPhase(VmPhase phase) {
            return switch (phase) {
                case SERVING -> Optional.of(VmPhase.STOPPING);
                case BROKEN -> Optional.of(phase);
                default -> Optional.empty();
            };
        }

        @Override
        public VmPhase phaseWhenDone() {
            return VmPhase.OFF;
        }
    },
    /** Drain it, then reboot it for maintenance; it serves afterwards. */
    REBOOT {
        @Override
        public Optional<VmPhase> pendingPhase(VmPhase phase) {
            return switch (phase) {
                case SERVING -> Optional.of(VmPhase.STOPPING);
                case OFF, BROKEN -> Optional.of(phase);
                default -> Optional.empty();
            };
        }
    },
    /** Start the service of the pool that it has joined. */
    REASSIGN {
        @Override
        public Optional<VmPhase> pendingPhase(VmPhase phase) {
            return phase == VmPhase.RELEASING ? Optional.of(phase) : Optional.empty();
        }
    };

    /**
     * Returns the phase of a VM while the action is pending; empty if the current phase does not
     * allow it.
     */
    public abstract Optional<VmPhase> pendingPhase(VmPhase phase);

    /** Returns the phase of a VM after the action succeeded. */
    public VmPhase phaseWhenDone() {
        return VmPhase.SERVING;
    }
}
