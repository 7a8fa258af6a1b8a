package org.foxtailplank.process;

import com.codahale.metrics.MetricRegistry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.Map;

/**
 * Serves and sends one HTTP request, then exits.
 *
 * <p>The start scripts run it after a build to create a class data sharing archive, which shortens
 * the start of all programs.
 */
public final class WarmUp {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private WarmUp() {}

    /** Runs the warm-up. */
    public static void main(String[] args) throws Exception {
        Logs.configure(LogFormat.TEXT, LogLevel.INFO, System.err);
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        try (PekkoRuntime runtime = PekkoRuntime.start("warm-up", 2)) {
            HttpListener listener =
                    HttpListener.bind(
                            runtime,
                            anyPort,
                            HealthRoutes.of(
                                    () -> new Health(Health.SERVING, Map.of()),
                                    new MetricRegistry()));
            URI uri = URI.create("http://127.0.0.1:" + listener.address().getPort() + "/health");
            JsonHttpClient.await(JsonHttpClient.withTimeout(runtime, TIMEOUT).get(uri))
                    .as(Health.class);
        }
    }
}
