package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.VmId;

/**
 * A VM was seen to serve, or to have failed, without an action that asked for it.
 *
 * <p>It makes budgets count failures that nobody planned, and brings a fleet that already runs into
 * the state. Void while an action is pending, whose confirmation says more.
 *
 * @param vm the VM
 * @param generation generation of the VM when it was seen; an older sight is void
 * @param health what was seen
 * @param author who saw it, and how
 */
public record VmObserved(VmId vm, long generation, VmHealth health, Author author)
        implements VmChange {
    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.of(vm));
    }
}
