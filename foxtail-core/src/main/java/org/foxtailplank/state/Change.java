package org.foxtailplank.state;

import java.util.Set;

/** What one record on the log changes. */
public sealed interface Change
        permits ConfigurationChange,
                EpochTaken,
                VmChange,
                PoolTargetChanged,
                TeamQuotaChanged,
                WaveChange,
                JobChange,
                StateRestored,
                NotUnderstood {
    /** The objects that it changes. */
    Set<ObjectKey> touches();

    /** Objects besides those that decide whether it may take effect. */
    default Set<ObjectKey> reads() {
        return Set.of();
    }
}
