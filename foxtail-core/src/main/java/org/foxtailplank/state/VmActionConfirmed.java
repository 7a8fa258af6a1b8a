package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.VmId;

/**
 * The platform has confirmed the outcome of an intended action.
 *
 * @param vm the VM
 * @param generation number of the action, as in its intent
 * @param outcome the outcome
 */
public record VmActionConfirmed(VmId vm, long generation, ActionOutcome outcome)
        implements VmChange {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.of(vm));
    }
}
