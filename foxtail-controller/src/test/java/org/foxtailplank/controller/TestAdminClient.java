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

/** Calls an administration API over HTTP. */
final class TestAdminClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final JsonHttpClient mHttp;
    private final URI mAddress;

    private TestAdminClient(JsonHttpClient http, URI address) {
        mHttp = http;
        mAddress = address;
    }

    /** Serves routes on a port that the system gives, and calls them without a token. */
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

    /** The body of an answer that must be good. */
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

    /** Name of the error that an answer carries. */
    static String errorCode(HttpAnswer answer) throws Exception {
        return answer.tree().path("error").path("code").asText();
    }

    /** A change of the configuration. */
    record Publication(long version, String base, Map<String, String> overlays, String why) {}

    /** A merge patch of the configuration. */
    record Patch(long version, String basePatch, String why) {}
}
