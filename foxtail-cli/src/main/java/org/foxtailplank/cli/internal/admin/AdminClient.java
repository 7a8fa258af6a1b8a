package org.foxtailplank.cli.internal.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.BiFunction;
import org.foxtailplank.cli.internal.command.CliMessages;
import org.foxtailplank.cli.internal.command.Console;
import org.foxtailplank.process.HttpAnswer;
import org.foxtailplank.process.HttpCallException;
import org.foxtailplank.process.Json;
import org.foxtailplank.process.JsonHttpClient;
import org.foxtailplank.process.PekkoRuntime;
import org.foxtailplank.process.ProcessException;

/** Calls the administration API of the first node that answers. */
public final class AdminClient implements AutoCloseable {
    private static final int BAD_REQUEST = 400;
    private static final String CODE_UNKNOWN = "unknown";
    private static final String CODE_STALE = "stale-version";
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);

    private final PekkoRuntime mRuntime;
    private final JsonHttpClient mClient;
    private final List<URI> mNodes;

    private AdminClient(PekkoRuntime runtime, JsonHttpClient client, List<URI> nodes) {
        mRuntime = runtime;
        mClient = client;
        mNodes = nodes;
    }

    /** A client for the nodes and the token that the options name. */
    public static AdminClient of(AdminOptions options, Console console) throws ProcessException {
        List<URI> nodes = options.admins(console);
        String token = options.token(console);
        PekkoRuntime runtime = PekkoRuntime.start("foxtail", 2);
        JsonHttpClient client =
                JsonHttpClient.withTimeout(runtime, CALL_TIMEOUT)
                        .withHeader("Authorization", "Bearer " + token);
        return new AdminClient(runtime, client, nodes);
    }

    /** The actor system that the calls run in. */
    public PekkoRuntime runtime() {
        return mRuntime;
    }

    /** Reads. */
    public Reply get(String path) throws ProcessException, InterruptedException {
        return call(path, JsonHttpClient::get);
    }

    /** Reads from one node only; the stage never fails. */
    public CompletionStage<Reply> getFrom(URI node, String path) {
        return mClient.get(node.resolve(path))
                .handle(
                        (answer, error) ->
                                error == null ? reply(answer) : new Reply.Unknown(words(error)));
    }

    private static String words(Throwable error) {
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        return cause.getMessage();
    }

    /** Changes what a path names. */
    public Reply put(String path, Object body) throws ProcessException, InterruptedException {
        return call(path, (client, uri) -> client.put(uri, body));
    }

    /** Adds to what a path names. */
    public Reply post(String path, Object body) throws ProcessException, InterruptedException {
        return call(path, (client, uri) -> client.post(uri, body));
    }

    private Reply call(
            String path, BiFunction<JsonHttpClient, URI, CompletionStage<HttpAnswer>> method)
            throws ProcessException, InterruptedException {
        HttpCallException last = null;
        for (URI node : mNodes) {
            try {
                return reply(JsonHttpClient.await(method.apply(mClient, node.resolve(path))));
            } catch (HttpCallException e) {
                // Another node is asked only where this one certainly did nothing.
                if (e.kind().mayHaveTakenEffect()) {
                    return new Reply.Unknown(e.getMessage());
                }
                last = e;
            }
        }
        throw ProcessException.failed(CliMessages.noNode(last.getMessage()), last);
    }

    private static Reply reply(HttpAnswer answer) {
        try {
            return answer.isOk()
                    ? new Reply.Ok(Json.parse(answer.body()))
                    : refusal(answer, Json.read(answer.body(), ApiError.class));
        } catch (JsonProcessingException e) {
            return other(answer);
        }
    }

    private static Reply other(HttpAnswer answer) {
        return new Reply.Refused(false, answer.from() + " answered: " + answer.error());
    }

    private static Reply refusal(HttpAnswer answer, ApiError error) {
        if (error == null || error.error() == null) {
            return other(answer);
        }
        ApiError.Detail detail = error.error();
        String message = CliMessages.refused(detail.what(), detail.why(), detail.todo());
        if (CODE_UNKNOWN.equals(detail.code())) {
            return new Reply.Unknown(message);
        }
        JsonNode current = error.current();
        boolean stale = CODE_STALE.equals(detail.code());
        if (stale && current != null && !current.isNull()) {
            return new Reply.Conflict(current, message);
        }
        return new Reply.Refused(answer.status() == BAD_REQUEST, message);
    }

    @Override
    public void close() {
        mRuntime.close();
    }
}
