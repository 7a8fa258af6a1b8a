package org.foxtailplank.port;

import java.util.List;
import java.util.Optional;

/**
 * The operator's configuration.
 *
 * @param version its version, which rises
 * @param routes the queues
 * @param services the services
 * @param maxBodyBytes largest body of a caller's request
 */
public record FleetConfig(
        long version, List<RouteSettings> routes, List<PoolService> services, int maxBodyBytes) {
    public FleetConfig {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
    }

    /** The queue for a host and path: the one with the longest prefix. */
    public Optional<RouteSettings> route(String host, String path) {
        RouteSettings best = null;
        for (RouteSettings r : routes) {
            boolean matches = r.host().equalsIgnoreCase(host) && path.startsWith(r.pathPrefix());
            boolean longer = best == null || r.pathPrefix().length() > best.pathPrefix().length();
            if (matches && longer) {
                best = r;
            }
        }
        return Optional.ofNullable(best);
    }

    public Optional<PoolService> service(String name) {
        return services.stream().filter(s -> s.name().equals(name)).findFirst();
    }

    /** Whether a service's VMs are off. */
    public boolean isStandby(String name) {
        return service(name).map(PoolService::standby).orElse(false);
    }
}
