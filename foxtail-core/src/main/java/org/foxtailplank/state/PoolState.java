package org.foxtailplank.state;

import java.util.Optional;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.ServiceId;

/**
 * A pool as folded from the log.
 *
 * @param id the pool
 * @param service service that its VMs run
 * @param target VMs powered on for the declared jobs
 * @param reserve VMs powered on beyond the target
 * @param version offset of its last change
 */
public record PoolState(
        PoolId id, Optional<ServiceId> service, int target, int reserve, long version) {}
