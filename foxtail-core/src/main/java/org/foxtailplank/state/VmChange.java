package org.foxtailplank.state;

import org.foxtailplank.id.VmId;

/** A change of one VM. */
public sealed interface VmChange extends Change
        permits VmReleased, VmJoined, VmActionIntended, VmActionConfirmed, VmObserved {
    /** Returns the VM that changes. */
    VmId vm();
}
