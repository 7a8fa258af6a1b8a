package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.VmId;

/**
 * A VM begins to leave its pool; it still belongs to it.
 *
 * <p>A serving VM is then drained by {@link VmAction#REASSIGN}; one that is off joins at once. The
 * same pool twice abandons a move that was not yet reassigned.
 *
 * @param vm the VM
 * @param from pool that it is in
 * @param to pool that it is to join
 * @param author who and why
 */
public record VmReleased(VmId vm, PoolId from, PoolId to, Author author) implements VmChange {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.of(vm));
    }

    @Override
    public Set<ObjectKey> reads() {
        return Set.of(ObjectKey.of(to));
    }
}
