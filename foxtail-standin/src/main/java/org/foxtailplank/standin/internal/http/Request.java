package org.foxtailplank.standin.internal.http;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/**
 * A request with its whole body.
 *
 * @param http the request
 * @param path decoded segments of its path
 * @param body its body
 * @param connection connection that it came on
 */
public record Request(HttpRequest http, List<String> path, byte[] body, Connection connection) {

    static Request of(HttpRequest http, byte[] body, Connection connection) {
        List<String> path =
                Stream.of(http.getUri().path().split("/"))
                        .filter(s -> !s.isEmpty())
                        .map(s -> URLDecoder.decode(s, StandardCharsets.UTF_8))
                        .toList();
        return new Request(http, path, body, connection);
    }

    /** Method and path, for example {@code GET /v1/vms}. */
    public String what() {
        return http.method().value() + " /" + String.join("/", path);
    }

    /** Whether the method is this one and the path has that many segments. */
    public boolean is(String method, int segments) {
        return http.method().value().equals(method) && path.size() == segments;
    }

    /** A parameter of the query. */
    public Optional<String> parameter(String name) {
        return http.getUri().query().get(name);
    }

    /** A number in the query. */
    public long number(String name, long otherwise) {
        return parameter(name).map(Long::parseLong).orElse(otherwise);
    }

    /** The value of a header. */
    public Optional<String> header(String name) {
        return http.getHeader(name).map(HttpHeader::value);
    }
}
