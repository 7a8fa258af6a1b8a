package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.VmId;

/**
 * A VM begins to leave its pool; it still belongs to it.
 *
 * <p>A move under way may be given another pool, also the one that the VM is in, which calls it
 * off: the VM still joins, since it may be drained already, and its service is started again.
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
