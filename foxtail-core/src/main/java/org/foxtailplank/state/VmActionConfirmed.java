package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.VmId;

/**
 * The platform has confirmed how an intended action ended.
 *
 * @param vm the VM
 * @param generation number of the action, as in its intent
 * @param outcome how it ended
 */
public record VmActionConfirmed(VmId vm, long generation, ActionOutcome outcome)
        implements VmChange {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.of(vm));
    }
}
