package org.foxtailplank.standin.internal.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.time.Duration;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/**
 * What the server does about one request.
 *
 * @param response the answer
 * @param close whether the connection is closed afterwards, without a word to the client
 */
public record Reply(HttpResponse response, boolean close) {

    private static final Duration BEFORE_BREAK = Duration.ofMillis(50);

    /** Sends an answer. */
    public static Reply of(HttpResponse response) {
        return new Reply(response, false);
    }

    /** Sends a document. */
    public static Reply json(int status, Object document) {
        try {
            byte[] body = Json.MAPPER.writeValueAsBytes(document);
            return of(
                    HttpResponse.create()
                            .withStatus(status)
                            .withEntity(ContentTypes.APPLICATION_JSON, body));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a document of the stand-in can't be written", e);
        }
    }

    /** Sends an error. */
    public static Reply error(int status, String what) {
        return json(status, new ErrorDocument(what));
    }

    /** The same answer, after which the connection is closed. */
    public Reply thenClosed() {
        return new Reply(response, true);
    }

    /** The same answer with only half of its body sent before the connection breaks. */
    public Reply truncated() {
        return new Reply(half(response), true);
    }

    private static HttpResponse half(HttpResponse whole) {
        HttpEntity.Strict entity = (HttpEntity.Strict) whole.entity();
        ByteString data = entity.getData();
        // The break waits a little, or the half that was sent would be lost with the connection.
        Source<ByteString, ?> half =
                Source.single(data.take(data.size() / 2))
                        .concat(Source.<ByteString>maybe().initialTimeout(BEFORE_BREAK));
        return whole.withEntity(HttpEntities.create(entity.getContentType(), data.size(), half));
    }

    private record ErrorDocument(String error) {}
}
