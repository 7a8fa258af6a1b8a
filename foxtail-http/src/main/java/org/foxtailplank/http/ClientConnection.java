package org.foxtailplank.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/** Client side of a connection; carries one call at a time. */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final TargetPool mPool;
    private ChannelHandlerContext mContext;
    private PendingCall mCurrent;
    private boolean mClosed;

    ClientConnection(TargetPool pool) {
        mPool = pool;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
    }

    void send(PendingCall pending) {
        mCurrent = pending;
        pending.mConnection = this;
        HttpCall call = pending.mCall;
        ByteBuf body = Unpooled.wrappedBuffer(call.body());
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.valueOf(call.method()), call.path(), body);
        request.headers().set(HttpHeaderNames.HOST, mPool.hostHeader());
        if (call.body().length > 0 || !call.contentType().isEmpty()) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, call.contentType());
        }
        call.headers().forEach((name, value) -> request.headers().set(name, value));
        mContext.writeAndFlush(request);
    }

    /** Returns the first handler of the pipeline, which notices parts of a response. */
    ChannelInboundHandler progressRecorder() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object bytes) {
                if (mCurrent != null) {
                    mCurrent.recordProgress(MonotonicClock.nowMs());
                }
                context.fireChannelRead(bytes);
            }
        };
    }

    void close() {
        mContext.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
        PendingCall call = mCurrent;
        mCurrent = null;
        byte[] body = ByteBufUtil.getBytes(response.content());
        boolean keep = HttpUtil.isKeepAlive(response);
        if (keep) {
            mPool.release(this);
        } else {
            context.close();
        }
        if (call != null) {
            call.finish(new HttpResult.Answered(response.status().code(), body));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (mClosed) {
            return;
        }
        mClosed = true;
        mPool.onClosed(this);
        failCurrent("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        UncaughtErrors.report(cause);
        failCurrent(String.valueOf(cause));
        context.close();
    }

    private void failCurrent(String reason) {
        PendingCall call = mCurrent;
        mCurrent = null;
        if (call != null) {
            call.finish(new HttpResult.Unanswered(reason));
        }
    }
}
