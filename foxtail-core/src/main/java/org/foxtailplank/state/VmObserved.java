package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.VmId;

/**
 * A VM was observed to serve, or to have failed, without an action that caused it.
 *
 * <p>Makes budgets account for unplanned failures, and imports a fleet that already runs. Void
 * while an action is pending, because the action's confirmation is authoritative.
 *
 * @param vm the VM
 * @param generation generation of the VM when it was observed; an older observation is void
 * @param health observed health
 * @param author who observed it, and how
 */
public record VmObserved(VmId vm, long generation, VmHealth health, ChangeAuthor author)
        implements VmChange {
    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.of(vm));
    }
}
