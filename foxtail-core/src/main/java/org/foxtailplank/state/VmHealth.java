package org.foxtailplank.state;

import java.util.Optional;

/** What the platform's list shows of a VM for which no action is pending. */
public enum VmHealth {
    /** It serves. */
    UP {
        @Override
        public Optional<VmPhase> observedIn(VmPhase phase) {
            return switch (phase) {
                case OFF, BROKEN -> Optional.of(VmPhase.SERVING);
                default -> Optional.empty();
            };
        }
    },
    /** It does not serve and nobody asked for that. */
    DOWN {
        @Override
        public Optional<VmPhase> observedIn(VmPhase phase) {
            return phase == VmPhase.SERVING ? Optional.of(VmPhase.BROKEN) : Optional.empty();
        }
    };

    /** Phase of a VM that was observed so; empty where the observation says nothing new. */
    public abstract Optional<VmPhase> observedIn(VmPhase phase);
}
