package org.foxtailplank.node.caller;

import org.foxtailplank.job.JobSummary;
import org.foxtailplank.organisation.Organisation;
import org.foxtailplank.port.RouteSettings;

/**
 * The queue of a request and on whose behalf it is made.
 *
 * @param route the queue
 * @param organisation name of the organisation whose key the request carries; {@link
 *     Organisation#NONE} if the queue requires no key
 */
record RoutedRequest(RouteSettings route, String organisation) {

    /**
     * Whether the request may read or cancel a job. Without a key it may only access jobs of its
     * own queue, since a job can be named in the path of any queue.
     */
    boolean mayAccess(JobSummary job) {
        if (job.organisation().equals(Organisation.NONE)) {
            return true;
        }
        return route.requiresKey()
                ? job.organisation().equals(organisation)
                : job.route().equals(route.name());
    }
}
