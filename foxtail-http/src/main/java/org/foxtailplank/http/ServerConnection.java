package org.foxtailplank.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Server side of a connection; pipelined requests are answered in order.
 *
 * <p>While {@link #MAX_WAITING} requests wait for an earlier one, no more are read, so that a
 * caller that doesn't wait for answers can't fill the memory of the node.
 */
final class ServerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    /** Requests that may wait; those that were received together with the last one come on top. */
    private static final int MAX_WAITING = 16;

    private final HttpServer mServer;
    private final HttpHandler mHandler;
    private final Deque<ReadRequest> mWaiting = new ArrayDeque<>();
    private boolean mBusy;
    private boolean mHandlingWaiting;
    private boolean mClosing;
    private ChannelHandlerContext mContext;
    private long mLastAnswerMs = TargetPool.nowMs();

    private record ReadRequest(HttpRequest request, boolean keepAlive) {}

    ServerConnection(HttpServer server, HttpHandler handler) {
        mServer = server;
        mHandler = handler;
    }

    boolean isBusy() {
        return mBusy;
    }

    /** Returns when the last request was answered, or the connection opened. */
    long lastAnswerMs() {
        return mLastAnswerMs;
    }

    void close() {
        mContext.close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        ReadRequest decoded = new ReadRequest(decode(request), HttpUtil.isKeepAlive(request));
        mWaiting.add(decoded);
        handleWaiting(context);
        if (mWaiting.size() >= MAX_WAITING) {
            context.channel().config().setAutoRead(false);
        }
    }

    private static HttpRequest decode(FullHttpRequest request) {
        String uri = request.uri();
        int query = uri.indexOf('?');
        String path = query < 0 ? uri : uri.substring(0, query);
        HttpHeaders headers = request.headers();
        String host = Optional.ofNullable(headers.get(HttpHeaderNames.HOST)).orElse("");
        int port = host.lastIndexOf(':');
        return new HttpRequest(
                request.method().name(),
                path,
                query < 0 ? "" : uri.substring(query + 1),
                port < 0 ? host : host.substring(0, port),
                name -> Optional.ofNullable(headers.get(name)),
                ByteBufUtil.getBytes(request.content()));
    }

    /**
     * Handles requests until one isn't answered at once. Answers to requests that are handled here
     * don't start another loop, whose depth would grow with the number of requests.
     */
    private void handleWaiting(ChannelHandlerContext context) {
        if (mHandlingWaiting) {
            return;
        }
        mHandlingWaiting = true;
        try {
            while (!mBusy && !mClosing && !mWaiting.isEmpty()) {
                handle(context, mWaiting.poll());
            }
        } finally {
            mHandlingWaiting = false;
        }
        if (mWaiting.size() < MAX_WAITING) {
            context.channel().config().setAutoRead(true);
        }
    }

    private void handle(ChannelHandlerContext context, ReadRequest request) {
        mBusy = true;
        mHandler.handle(request.request(), reply -> respond(context, reply, request.keepAlive()));
    }

    private void respond(ChannelHandlerContext context, HttpReply reply, boolean keepAlive) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(reply.status()),
                        Unpooled.wrappedBuffer(reply.body()));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
        if (!reply.contentType().isEmpty()) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, reply.contentType());
        }
        reply.headers().forEach((name, value) -> response.headers().set(name, value));
        boolean keep = keepAlive && !(mServer.isStopping() && mWaiting.isEmpty());
        if (!keep) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        var written = context.writeAndFlush(response);
        mBusy = false;
        mLastAnswerMs = TargetPool.nowMs();
        if (keep) {
            handleWaiting(context);
        } else {
            mClosing = true;
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mServer.onClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        UncaughtErrors.report(cause);
        context.close();
    }
}
