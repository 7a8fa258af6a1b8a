package org.foxtailplank.http;

import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;

/** Checks and converts the heads of requests: their first line and headers. */
final class RequestHeads {
    /** Estimated overhead of a header in memory, in bytes. */
    private static final int HEADER_OVERHEAD = 128;

    private RequestHeads() {}

    /** Returns the status with which a request is rejected before its body is read. */
    static Optional<HttpResponseStatus> rejection(
            io.netty.handler.codec.http.HttpRequest head, int maxBodyBytes) {
        if (head.decoderResult().isFailure()) {
            return Optional.of(malformed(head.decoderResult().cause()));
        }
        if (HttpUtil.getContentLength(head, 0L) > maxBodyBytes) {
            return Optional.of(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        }
        boolean unknownExpectation =
                head.headers().contains(HttpHeaderNames.EXPECT)
                        && head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0
                        && !HttpUtil.is100ContinueExpected(head);
        return unknownExpectation
                ? Optional.of(HttpResponseStatus.EXPECTATION_FAILED)
                : Optional.empty();
    }

    static HttpResponseStatus malformed(Throwable cause) {
        return cause instanceof TooLongFrameException
                ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                : HttpResponseStatus.BAD_REQUEST;
    }

    /** Estimates the memory of a decoded head, in bytes. */
    static int memory(io.netty.handler.codec.http.HttpRequest head) {
        int bytes = head.uri().length();
        for (var i = head.headers().iteratorCharSequence(); i.hasNext(); ) {
            var header = i.next();
            bytes += header.getKey().length() + header.getValue().length() + HEADER_OVERHEAD;
        }
        return bytes;
    }

    static HttpRequest decode(io.netty.handler.codec.http.HttpRequest head, byte[] body) {
        String uri = head.uri();
        int query = uri.indexOf('?');
        String path = query < 0 ? uri : uri.substring(0, query);
        HttpHeaders headers = head.headers();
        String host = Optional.ofNullable(headers.get(HttpHeaderNames.HOST)).orElse("");
        int port = host.lastIndexOf(':');
        return new HttpRequest(
                head.method().name(),
                path,
                query < 0 ? "" : uri.substring(query + 1),
                port < 0 ? host : host.substring(0, port),
                name -> Optional.ofNullable(headers.get(name)),
                body);
    }
}
