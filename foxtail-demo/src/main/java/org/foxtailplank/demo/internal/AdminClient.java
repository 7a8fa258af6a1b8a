package org.foxtailplank.demo.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.foxtailplank.process.HttpAnswer;
import org.foxtailplank.process.HttpCallException;
import org.foxtailplank.process.JsonHttpClient;
import org.foxtailplank.process.PekkoRuntime;
import org.foxtailplank.process.ProcessException;

/** Calls the administration API as an operator. */
public final class AdminClient {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final JsonHttpClient mClient;
    private final InetSocketAddress mAddress;

    /** A client that presents a team's token. */
    public AdminClient(PekkoRuntime runtime, InetSocketAddress address, String token) {
        mClient =
                JsonHttpClient.withTimeout(runtime, TIMEOUT)
                        .withHeader("Authorization", "Bearer " + token);
        mAddress = address;
    }

    /** Reads a page. */
    public JsonNode get(String path) throws ProcessException, InterruptedException {
        return answer(mClient.get(uri(path)));
    }

    /** Changes something. */
    public JsonNode post(String path, Object body) throws ProcessException, InterruptedException {
        return answer(mClient.post(uri(path), body));
    }

    /** Replaces something. */
    public JsonNode put(String path, Object body) throws ProcessException, InterruptedException {
        return answer(mClient.put(uri(path), body));
    }

    private URI uri(String path) {
        return URI.create("http://" + mAddress.getHostString() + ":" + mAddress.getPort() + path);
    }

    private static JsonNode answer(CompletionStage<HttpAnswer> call)
            throws ProcessException, InterruptedException {
        try {
            HttpAnswer answer = JsonHttpClient.await(call);
            if (!answer.isOk()) {
                throw ProcessException.failed(
                        answer.from() + " answered " + answer.status() + ": " + answer.body(),
                        null);
            }
            return answer.tree();
        } catch (HttpCallException e) {
            throw ProcessException.failed(e.getMessage(), e);
        }
    }
}
