package org.foxtailplank.settings;

import java.time.Duration;
import org.foxtailplank.request.RequestClass;

/**
 * A service that callers address; one instance of it runs on each powered-on VM of its pool.
 *
 * @param slots requests that one instance runs at once
 * @param connections connections that one instance accepts
 * @param instances instances wanted in normal operation
 * @param minAvailable availability budget: instances that must be serving at all times
 * @param objective service-level objective: share of requests answered ok within their deadline
 * @param deadline deadline of a request whose caller states none
 * @param requestClass class of a request whose caller states none
 * @param repeatable whether its requests may be repeated when the caller does not say
 */
public record ServiceSettings(
        int slots,
        int connections,
        int instances,
        int minAvailable,
        double objective,
        Duration deadline,
        RequestClass requestClass,
        boolean repeatable) {}
