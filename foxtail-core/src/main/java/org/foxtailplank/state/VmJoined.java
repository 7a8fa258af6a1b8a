package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.VmId;

/**
 * A drained VM leaves its pool and joins another one atomically.
 *
 * <p>The writer has confirmed with the backend server or the platform that the VM is drained. The
 * service of the new pool is started by {@link VmAction#REASSIGN}.
 *
 * @param vm the VM
 * @param to pool that the VM joins
 */
public record VmJoined(VmId vm, PoolId to) implements VmChange {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.of(vm));
    }

    @Override
    public Set<ObjectKey> reads() {
        return Set.of(ObjectKey.of(to));
    }
}
