package org.foxtailplank.state;

import java.util.Set;

/** A state change that one log record describes. */
public sealed interface Change
        permits ConfigurationChange,
                EpochTaken,
                VmChange,
                PoolTargetChanged,
                TeamQuotaChanged,
                WaveChange,
                JobChange,
                StateRestored,
                UnknownChange {
    /** Returns the objects that the change modifies. */
    Set<ObjectKey> touches();

    /** Returns further objects that decide whether the change takes effect. */
    default Set<ObjectKey> reads() {
        return Set.of();
    }
}
