package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.VmId;

/**
 * A VM starts to leave its pool; it belongs to that pool until it joins the next one.
 *
 * <p>A second release redirects a move in progress. Naming the VM's current pool cancels the move:
 * the VM still has to join, because it may be drained already, and its service is restarted.
 *
 * @param vm the VM
 * @param from current pool
 * @param to pool to join
 * @param author who releases it, and why
 */
public record VmReleased(VmId vm, PoolId from, PoolId to, ChangeAuthor author) implements VmChange {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.of(vm));
    }

    @Override
    public Set<ObjectKey> reads() {
        return Set.of(ObjectKey.of(to));
    }
}
