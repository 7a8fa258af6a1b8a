package org.foxtailplank.state;

import java.util.Set;

/** What one record on the log changes. */
public sealed interface Change
        permits ConfigurationPublished,
                ConfigurationChanged,
                EpochTaken,
                VmReleased,
                VmJoined,
                VmActionIntended,
                VmActionConfirmed,
                PoolTargetChanged,
                TeamQuotaChanged,
                WaveStarted,
                WaveControlled,
                WaveFinished,
                JobSubmitted,
                JobCancelled,
                TaskIntended,
                TaskConfirmed {

    /** The objects that it changes, in the order in which their versions are checked. */
    Set<ObjectKey> touches();
}
