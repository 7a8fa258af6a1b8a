package org.foxtailplank.port;

import java.util.List;
import java.util.Optional;
import org.foxtailplank.organisation.Organisations;

/**
 * Configuration of queues, services and organisations, as written by the operator.
 *
 * @param version version number, which increases with each change
 * @param routes the queues
 * @param services the services
 * @param maxBodyBytes maximum size of a caller's request body, in bytes
 * @param organisations the organisations
 */
public record FleetConfig(
        long version,
        List<RouteSettings> routes,
        List<ServiceConfig> services,
        int maxBodyBytes,
        Organisations organisations) {
    public FleetConfig {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
    }

    /** Creates a configuration without organisations. */
    public FleetConfig(
            long version,
            List<RouteSettings> routes,
            List<ServiceConfig> services,
            int maxBodyBytes) {
        this(version, routes, services, maxBodyBytes, Organisations.NONE);
    }

    /** The queue for a host and path: the one with the longest matching path prefix. */
    public Optional<RouteSettings> route(String host, String path) {
        RouteSettings match = null;
        for (RouteSettings r : routes) {
            boolean matches = r.host().equalsIgnoreCase(host) && path.startsWith(r.pathPrefix());
            boolean moreSpecific =
                    match == null || r.pathPrefix().length() > match.pathPrefix().length();
            if (matches && moreSpecific) {
                match = r;
            }
        }
        return Optional.ofNullable(match);
    }

    public Optional<ServiceConfig> service(String name) {
        return services.stream().filter(s -> s.name().equals(name)).findFirst();
    }

    /** Whether a service is a standby, whose VMs are switched off; false for an unknown one. */
    public boolean isStandby(String name) {
        return service(name).map(ServiceConfig::standby).orElse(false);
    }
}
