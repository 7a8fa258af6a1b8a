package org.foxtailplank.state;

import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.request.RequestClass;

/**
 * What a job asks for.
 *
 * @param team team that pays for it
 * @param pool pool it runs in
 * @param urgency how urgent it is
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
