package org.foxtailplank.process;

import com.codahale.metrics.MetricRegistry;
import java.util.function.Supplier;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.server.Directives;
import org.apache.pekko.http.javadsl.server.Route;

/** Routes {@code /health} and {@code /metrics} of every program. */
public final class HealthRoutes {
    private HealthRoutes() {}

    /** Creates routes that evaluate health and metrics at each request. */
    public static Route of(Supplier<Health> health, MetricRegistry metrics) {
        return Directives.concat(
                Directives.path(
                        "health",
                        () -> Directives.get(() -> Directives.complete(health(health.get())))),
                Directives.path(
                        "metrics",
                        () -> Directives.get(() -> Directives.complete(metrics(metrics)))));
    }

    /** Returns the health response; its status tells load balancers whether to send requests. */
    public static HttpResponse health(Health health) {
        int status =
                health.isServing()
                        ? StatusCodes.OK.intValue()
                        : StatusCodes.SERVICE_UNAVAILABLE.intValue();
        return JsonRoutes.answer(status, health);
    }

    /** Returns the metrics response. */
    public static HttpResponse metrics(MetricRegistry metrics) {
        return JsonRoutes.answer(StatusCodes.OK.intValue(), MetricsJson.of(metrics));
    }
}
