package org.foxtailplank.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.http.javadsl.server.Directives;
import org.apache.pekko.http.javadsl.server.Route;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests the HTTP server and the JSON client over sockets. */
public final class HttpTest {
    private static final InetSocketAddress ANY_PORT =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private final MetricRegistry mMetrics = new MetricRegistry();
    private PekkoRuntime mRuntime;
    private HttpListener mListener;
    private JsonHttpClient mClient;

    /** Body that the server echoes. */
    record Greeting(String text, int times) {}

    @BeforeClass
    void start() throws ProcessException {
        mRuntime = PekkoRuntime.start("http-test", 2);
        mClient = JsonHttpClient.withTimeout(mRuntime, Duration.ofSeconds(10));
        mListener = HttpListener.bind(mRuntime, ANY_PORT, routes());
    }

    @AfterClass(alwaysRun = true)
    void stop() {
        mRuntime.close();
    }

    private Route routes() {
        return Directives.concat(
                HealthRoutes.of(() -> new Health(Health.SERVING, Map.of("version", 7)), mMetrics),
                Directives.path("echo", () -> JsonRoutes.body(Greeting.class, JsonRoutes::ok)));
    }

    @Test
    void aJsonBodyIsEchoed() throws Exception {
        Greeting greeting = new Greeting("здравей", 2);
        HttpAnswer answer = JsonHttpClient.await(mClient.post(uri("/echo"), greeting));
        assertTrue(answer.isOk());
        assertEquals(answer.as(Greeting.class), greeting);
    }

    @Test
    void anInvalidBodyIsRefusedWithTheReason() throws Exception {
        HttpAnswer answer =
                JsonHttpClient.await(mClient.post(uri("/echo"), Map.of("times", "many")));
        assertEquals(answer.status(), 400);
        assertTrue(answer.error().contains("invalid request body: "), answer.error());
    }

    @Test
    void healthAndMetricsAreServed() throws Exception {
        mMetrics.counter("requests").inc(3);
        mMetrics.timer("answer").update(20, TimeUnit.MILLISECONDS);
        HttpAnswer health = JsonHttpClient.await(mClient.get(uri("/health")));
        assertEquals(health.as(Health.class), new Health("serving", Map.of("version", 7)));
        HttpAnswer metrics = JsonHttpClient.await(mClient.get(uri("/metrics")));
        assertEquals(metrics.tree().at("/counters/requests").asInt(), 3);
        assertEquals(metrics.tree().at("/timers/answer/p99").asDouble(), 20.0);
    }

    @Test
    void healthWithoutDetailsRoundTrips() throws Exception {
        Health health = new Health(Health.SERVING, Map.of());
        assertEquals(Json.read(Json.write(health), Health.class), health);
    }

    @Test
    void aResponseOverTheSizeLimitIsMalformed() {
        HttpCallException e =
                expectThrows(
                        HttpCallException.class,
                        () ->
                                JsonHttpClient.await(
                                        mClient.withMaxBody(8)
                                                .post(uri("/echo"), new Greeting("long", 1))));
        assertEquals(e.kind(), HttpCallException.Kind.MALFORMED);
    }

    @Test
    void bindingAPortInUseNamesThePort() {
        ProcessException e =
                expectThrows(
                        ProcessException.class,
                        () -> HttpListener.bind(mRuntime, mListener.address(), routes()));
        assertEquals(e.exitCode(), ExitCode.FAILED);
        assertTrue(e.getMessage().contains("Address already in use"), e.getMessage());
        assertTrue(
                e.getMessage().contains("127.0.0.1:" + mListener.address().getPort()),
                e.getMessage());
    }

    /** A refused connection means that the call had no effect. */
    @Test
    void aRefusedConnectionIsUnreachable() throws IOException {
        int port;
        try (ServerSocket socket = new ServerSocket(0)) {
            port = socket.getLocalPort();
        }
        HttpCallException e = failure("http://127.0.0.1:" + port + "/x", mClient);
        assertEquals(e.kind(), HttpCallException.Kind.UNREACHABLE);
        assertFalse(e.kind().mayHaveTakenEffect());
    }

    /** The server accepted the connection, so the call may have taken effect. */
    @Test
    void aServerThatNeverRespondsTimesOut() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            JsonHttpClient client = JsonHttpClient.withTimeout(mRuntime, Duration.ofMillis(200));
            HttpCallException e =
                    failure("http://127.0.0.1:" + socket.getLocalPort() + "/x", client);
            assertEquals(e.kind(), HttpCallException.Kind.TIMEOUT);
            assertTrue(e.kind().mayHaveTakenEffect());
        }
    }

    private static HttpCallException failure(String uri, JsonHttpClient client) {
        return expectThrows(
                HttpCallException.class, () -> JsonHttpClient.await(client.get(URI.create(uri))));
    }

    private URI uri(String path) {
        return URI.create("http://127.0.0.1:" + mListener.address().getPort() + path);
    }
}
