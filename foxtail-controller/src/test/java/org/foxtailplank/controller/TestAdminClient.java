package org.foxtailplank.controller;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.Map;
import org.apache.pekko.http.javadsl.server.Route;
import org.foxtailplank.process.HttpAnswer;
import org.foxtailplank.process.HttpListener;
import org.foxtailplank.process.JsonHttpClient;
import org.foxtailplank.process.PekkoRuntime;

/** HTTP client for an administration API. */
final class TestAdminClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final JsonHttpClient mHttp;
    private final URI mAddress;

    private TestAdminClient(JsonHttpClient http, URI address) {
        mHttp = http;
        mAddress = address;
    }

    /** Serves the routes on a free port and returns a client without a token. */
    static TestAdminClient serving(PekkoRuntime runtime, Route route) throws Exception {
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        int port = HttpListener.bind(runtime, any, route).address().getPort();
        return new TestAdminClient(
                JsonHttpClient.withTimeout(runtime, TIMEOUT),
                URI.create("http://127.0.0.1:" + port));
    }

    TestAdminClient withToken(String token) {
        return new TestAdminClient(mHttp.withHeader("Authorization", "Bearer " + token), mAddress);
    }

    /** Returns the body of a response that must have status 200. */
    JsonNode getOk(String path) throws Exception {
        HttpAnswer answer = get(path);
        assertEquals(answer.status(), 200, answer.body());
        return answer.tree();
    }

    HttpAnswer get(String path) throws Exception {
        return JsonHttpClient.await(mHttp.get(mAddress.resolve(path)));
    }

    HttpAnswer put(String path, Object body) throws Exception {
        return JsonHttpClient.await(mHttp.put(mAddress.resolve(path), body));
    }

    HttpAnswer post(String path, Object body) throws Exception {
        return JsonHttpClient.await(mHttp.post(mAddress.resolve(path), body));
    }

    HttpAnswer patch(String path, Object body) throws Exception {
        return JsonHttpClient.await(mHttp.patch(mAddress.resolve(path), body));
    }

    /** Returns the error code of a response. */
    static String errorCode(HttpAnswer answer) throws Exception {
        return answer.tree().path("error").path("code").asText();
    }

    /** Request body that publishes a configuration. */
    record Publication(long version, String base, Map<String, String> overlays, String why) {}

    /** Request body with a merge patch of the configuration. */
    record Patch(long version, String basePatch, String why) {}
}
