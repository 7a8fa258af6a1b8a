package org.foxtailplank.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/** Converts answers to Netty's responses. */
final class Responses {
    private Responses() {}

    /** Returns the response that invites the body of a request. */
    static FullHttpResponse invitation() {
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER);
    }

    /**
     * Returns the response for an answer.
     *
     * @param withBody whether the body is sent; its length is named in any case
     * @param keepAlive whether the connection stays open
     */
    static FullHttpResponse of(HttpReply reply, boolean withBody, boolean keepAlive) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(reply.status()),
                        withBody ? Unpooled.wrappedBuffer(reply.body()) : Unpooled.EMPTY_BUFFER);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
        if (!reply.contentType().isEmpty()) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, reply.contentType());
        }
        reply.headers().forEach((name, value) -> response.headers().set(name, value));
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return response;
    }
}
