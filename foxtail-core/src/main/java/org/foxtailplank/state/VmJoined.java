package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.VmId;

/**
 * A drained VM leaves its pool and joins the other one in a single step.
 *
 * <p>Its writer has the word of the backend server or of the platform that it is drained. The
 * service of the new pool is started by {@link PlannedVmAction#REASSIGN}.
 *
 * @param vm the VM
 * @param to pool that it joins
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
