package org.foxtailplank.state;

import java.util.Optional;
import org.foxtailplank.id.ServiceId;

/**
 * A pool as configured.
 *
 * @param service service that its VMs run
 * @param target VMs powered on for the declared jobs
 * @param reserve VMs powered on beyond the target
 */
public record PoolDefinition(Optional<ServiceId> service, int target, int reserve) {}
