package org.foxtailplank.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.server.Directives;
import org.apache.pekko.http.javadsl.server.Route;

/** Helpers for routes with JSON bodies. */
public final class JsonRoutes {
    private static final long MAX_BODY = 16L << 20;
    private static final Duration BODY_TIMEOUT = Duration.ofSeconds(10);

    private JsonRoutes() {}

    /** Creates a response with a value as its JSON body. */
    public static HttpResponse answer(int status, Object value) {
        return HttpResponse.create()
                .withStatus(StatusCodes.get(status))
                .withEntity(ContentTypes.APPLICATION_JSON, Json.write(value));
    }

    /** Creates a response with an error message. */
    public static HttpResponse error(int status, String message) {
        return answer(status, Json.object().put("error", message));
    }

    /** Completes with status 200 and a value as JSON. */
    public static Route ok(Object value) {
        return Directives.complete(answer(StatusCodes.OK.intValue(), value));
    }

    /** Completes with an asynchronous response. */
    public static Route later(CompletionStage<HttpResponse> answer) {
        return Directives.onSuccess(answer, Directives::complete);
    }

    /**
     * Parses the request body as a value of a type; an invalid body is rejected with status 400.
     */
    public static <T> Route body(Class<T> type, Function<T, Route> inner) {
        return Directives.withSizeLimit(
                MAX_BODY,
                () ->
                        Directives.toStrictEntity(
                                BODY_TIMEOUT,
                                () ->
                                        Directives.extractStrictEntity(
                                                BODY_TIMEOUT,
                                                e -> read(e.getData().utf8String(), type, inner))));
    }

    private static <T> Route read(String text, Class<T> type, Function<T, Route> inner) {
        T value;
        try {
            value = Json.read(text, type);
        } catch (JsonProcessingException e) {
            return Directives.complete(
                    error(
                            StatusCodes.BAD_REQUEST.intValue(),
                            "invalid request body: " + e.getOriginalMessage()));
        }
        return value == null
                ? Directives.complete(
                        error(StatusCodes.BAD_REQUEST.intValue(), "the request body is empty"))
                : inner.apply(value);
    }
}
