package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.VmId;

/**
 * The platform has confirmed how an intended action ended.
 *
 * @param vm the VM
 * @param generation generation for which it was meant
 * @param outcome how it ended
 */
public record VmActionConfirmed(VmId vm, long generation, ActionOutcome outcome) implements Change {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.of(vm));
    }
}
