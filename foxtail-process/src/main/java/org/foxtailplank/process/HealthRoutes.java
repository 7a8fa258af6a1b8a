package org.foxtailplank.process;

import com.codahale.metrics.MetricRegistry;
import java.util.function.Supplier;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.server.Directives;
import org.apache.pekko.http.javadsl.server.Route;

/** The routes {@code /health} and {@code /metrics} that each binary serves. */
public final class HealthRoutes {
    private HealthRoutes() {}

    /** Routes that answer with what is so at the time of each call. */
    public static Route of(Supplier<Health> health, MetricRegistry metrics) {
        return Directives.concat(
                Directives.path(
                        "health",
                        () -> Directives.get(() -> Directives.complete(health(health.get())))),
                Directives.path(
                        "metrics",
                        () -> Directives.get(() -> Directives.complete(metrics(metrics)))));
    }

    /** The health answer; its status tells a balancer whether to send work. */
    public static HttpResponse health(Health health) {
        int status =
                health.isServing()
                        ? StatusCodes.OK.intValue()
                        : StatusCodes.SERVICE_UNAVAILABLE.intValue();
        return JsonRoutes.answer(status, health);
    }

    /** The metrics answer. */
    public static HttpResponse metrics(MetricRegistry metrics) {
        return JsonRoutes.answer(StatusCodes.OK.intValue(), MetricsJson.of(metrics));
    }
}
