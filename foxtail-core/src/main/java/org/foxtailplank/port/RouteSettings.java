package org.foxtailplank.port;

import org.foxtailplank.job.QueueTerms;

/**
 * A queue that callers hand jobs in to.
 *
 * @param name its name
 * @param host host that callers name
 * @param pathPrefix beginning of the paths that lead to it
 * @param service service whose workers run its tasks
 * @param terms terms of the queue
 */
public record RouteSettings(
        String name, String host, String pathPrefix, String service, QueueTerms terms) {}
