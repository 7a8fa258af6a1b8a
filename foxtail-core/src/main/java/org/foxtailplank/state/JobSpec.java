package org.foxtailplank.state;

import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.request.RequestClass;

/**
 * Resource requirements of a job.
 *
 * @param team team whose quota the job uses
 * @param pool pool that runs the job
 * @param urgency urgency class
 * @param processors processor cores of one task
 * @param memoryBytes memory of one task
 * @param accelerators accelerators of one task
 * @param tasks number of tasks
 */
public record JobSpec(
        TeamId team,
        PoolId pool,
        RequestClass urgency,
        int processors,
        long memoryBytes,
        int accelerators,
        int tasks) {}
