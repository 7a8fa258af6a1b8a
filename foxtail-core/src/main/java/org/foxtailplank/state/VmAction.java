package org.foxtailplank.state;

import java.util.Optional;

/** What the platform is asked to do with a VM. */
public enum VmAction {
    /** Power it on. */
    WAKE {
        @Override
        public Optional<VmPhase> intendedIn(VmPhase phase) {
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
        public Optional<VmPhase> intendedIn(VmPhase phase) {
            return switch (phase) {
                case SERVING -> Optional.of(VmPhase.STOPPING);
                case BROKEN -> Optional.of(phase);
                default -> Optional.empty();
            };
        }

        @Override
        public VmPhase done() {
            return VmPhase.OFF;
        }
    },
    /** Drain it, then reboot it for maintenance; it serves afterwards. */
    REBOOT {
        @Override
        public Optional<VmPhase> intendedIn(VmPhase phase) {
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
        public Optional<VmPhase> intendedIn(VmPhase phase) {
            return phase == VmPhase.RELEASING ? Optional.of(phase) : Optional.empty();
        }
    };

    /** Phase of a VM while this is pending; empty where it may not be intended. */
    public abstract Optional<VmPhase> intendedIn(VmPhase phase);

    /** Phase of a VM for which this is done. */
    public VmPhase done() {
        return VmPhase.SERVING;
    }
}
