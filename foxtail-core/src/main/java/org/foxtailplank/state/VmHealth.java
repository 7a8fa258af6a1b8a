package org.foxtailplank.state;

import java.util.Optional;

/** Observed health of a VM without a pending action. */
public enum VmHealth {
    /** The VM serves. */
    UP {
        @Override
        public Optional<VmPhase> observedPhase(VmPhase phase) {
            return switch (phase) {
                case OFF, BROKEN -> Optional.of(VmPhase.SERVING);
                default -> Optional.empty();
            };
        }
    },
    /** The VM does not serve although no action requested that. */
    DOWN {
        @Override
        public Optional<VmPhase> observedPhase(VmPhase phase) {
            return phase == VmPhase.SERVING ? Optional.of(VmPhase.BROKEN) : Optional.empty();
        }
    };

    /** Returns the phase of a VM after this observation; empty if the phase does not change. */
    public abstract Optional<VmPhase> observedPhase(VmPhase phase);
}
