package org.foxtailplank.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CopyOnWriteArrayList;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.server.Directives;
import org.apache.pekko.http.javadsl.server.Route;
import org.apache.pekko.http.javadsl.unmarshalling.Unmarshaller;
import org.foxtailplank.process.HttpListener;
import org.foxtailplank.process.Json;
import org.foxtailplank.process.JsonRoutes;
import org.foxtailplank.process.PekkoRuntime;
import org.foxtailplank.process.ProcessException;

/** An administration API that gives prepared answers and remembers what it was asked. */
final class FakeApi implements AutoCloseable {
    private final PekkoRuntime mRuntime = PekkoRuntime.start("fake-api", 2);
    private final Map<String, Queue<HttpResponse>> mAnswers = new HashMap<>();
    private final List<Asked> mAsked = new CopyOnWriteArrayList<>();
    private final HttpListener mListener;

    /** A call: method and path, token and body. */
    record Asked(String call, String token, String body) {}

    FakeApi() throws ProcessException {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        mListener =
                HttpListener.bind(
                        mRuntime,
                        any,
                        Directives.extractRequest(
                                request ->
                                        Directives.entity(
                                                Unmarshaller.entityToString(),
                                                body -> answer(request, body))));
    }

    String address() {
        return "127.0.0.1:" + mListener.address().getPort();
    }

    /** Prepares an answer to a call such as {@code GET /v1/pools}; the last one is repeated. */
    void answers(String call, int status, String json) throws JsonProcessingException {
        mAnswers.computeIfAbsent(call, c -> new ArrayDeque<>())
                .add(JsonRoutes.answer(status, Json.parse(json)));
    }

    List<Asked> asked() {
        return mAsked;
    }

    private synchronized Route answer(HttpRequest request, String body) {
        String call = request.method().value() + " " + request.getUri().path();
        String token = request.getHeader("Authorization").map(h -> h.value()).orElse("");
        mAsked.add(new Asked(call, token, body));
        Queue<HttpResponse> answers = mAnswers.getOrDefault(call, new ArrayDeque<>());
        HttpResponse answer = answers.size() > 1 ? answers.remove() : answers.peek();
        return Directives.complete(
                answer == null ? JsonRoutes.error(404, "nothing prepared for " + call) : answer);
    }

    @Override
    public void close() {
        mRuntime.close();
    }
}
