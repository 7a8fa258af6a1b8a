package org.foxtailplank.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/** The connections to one address. */
final class TargetPool {
    /** Largest answer that is read, in bytes: pages of the shared log are the largest. */
    private static final int MAX_ANSWER_BYTES = 16 << 20;

    private final Bootstrap mBootstrap;
    private final EventLoop mLoop;
    private final InetSocketAddress mTarget;
    private final int mMax;
    private final Deque<ClientConnection> mIdle = new ArrayDeque<>();
    private final Deque<PendingCall> mWaiting = new ArrayDeque<>();
    private int mOpen;

    TargetPool(Bootstrap bootstrap, EventLoop loop, InetSocketAddress target, int max) {
        mBootstrap = bootstrap;
        mLoop = loop;
        mTarget = target;
        mMax = max;
    }

    void call(PendingCall pending, long timeoutMs) {
        pending.mTimer = mLoop.schedule(() -> timedOut(pending), timeoutMs, TimeUnit.MILLISECONDS);
        mWaiting.add(pending);
        dispatch();
    }

    void close() {
        new ArrayList<>(mIdle).forEach(ClientConnection::close);
    }

    private void dispatch() {
        while (!mWaiting.isEmpty()) {
            ClientConnection idle = mIdle.pollLast();
            if (idle != null) {
                send(idle, mWaiting.poll());
            } else if (mOpen < mMax) {
                open(mWaiting.poll());
            } else {
                return;
            }
        }
    }

    private void open(PendingCall call) {
        mOpen++;
        ClientConnection connection = new ClientConnection(this);
        ChannelFuture opened =
                mBootstrap
                        .clone()
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(new HttpClientCodec())
                                                .addLast(new HttpObjectAggregator(MAX_ANSWER_BYTES))
                                                .addLast(connection);
                                    }
                                })
                        .connect(mTarget);
        opened.addListener(
                f -> {
                    if (!f.isSuccess()) {
                        mOpen--;
                        call.finish(new HttpResult.NotSent(String.valueOf(f.cause())));
                        dispatch();
                    } else if (call.isFinished()) {
                        idle(connection);
                    } else {
                        send(connection, call);
                    }
                });
    }

    private void send(ClientConnection connection, PendingCall call) {
        if (call.maySend()) {
            connection.send(call);
        } else {
            call.finish(new HttpResult.NotSent("not allowed any more"));
            idle(connection);
        }
    }

    /**
     * A call took too long. Its connection may have gone silent without a reset, and so may those
     * that are idle: they are closed too, or each would cost another call its timeout.
     */
    private void timedOut(PendingCall call) {
        if (call.isFinished()) {
            return;
        }
        mWaiting.remove(call);
        if (call.mConnection == null) {
            call.finish(new HttpResult.NotSent("no connection in time"));
            return;
        }
        ClientConnection connection = call.mConnection;
        call.finish(new HttpResult.Unanswered("timeout"));
        connection.close();
        close();
    }

    void idle(ClientConnection connection) {
        mIdle.addLast(connection);
        dispatch();
    }

    void closed(ClientConnection connection) {
        mOpen--;
        mIdle.remove(connection);
        dispatch();
    }

    String hostHeader() {
        return mTarget.getAddress().getHostAddress() + ':' + mTarget.getPort();
    }
}
