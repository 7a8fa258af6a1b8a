package org.foxtailplank.port;

import org.foxtailplank.job.QueuePolicy;

/**
 * Configuration of a queue that callers submit jobs to.
 *
 * @param name name of the queue
 * @param host value of the {@code Host} header of its requests
 * @param pathPrefix path prefix of its requests
 * @param service service whose workers run the tasks
 * @param policy scheduling settings of the queue
 * @param requiresKey whether its requests must carry the API key of an organisation
 */
public record RouteSettings(
        String name,
        String host,
        String pathPrefix,
        String service,
        QueuePolicy policy,
        boolean requiresKey) {}
