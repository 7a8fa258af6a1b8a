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
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Connection pool of one target address. */
final class TargetPool {
    /** Maximum response size in bytes; pages of the shared log are the largest responses. */
    private static final int MAX_RESPONSE_BYTES = 16 << 20;

    private final Bootstrap mBootstrap;
    private final EventLoop mLoop;
    private final InetSocketAddress mTarget;
    private final int mMaxConnections;
    private final Deque<ClientConnection> mIdle = new ArrayDeque<>();
    private final Deque<PendingCall> mWaiting = new ArrayDeque<>();

    /** Connections of calls that have timed out and whose response is still accepted. */
    private final Deque<ClientConnection> mOverdue = new ArrayDeque<>();

    private int mOpenConnections;

    TargetPool(Bootstrap bootstrap, EventLoop loop, InetSocketAddress target, int maxConnections) {
        mBootstrap = bootstrap;
        mLoop = loop;
        mTarget = target;
        mMaxConnections = maxConnections;
    }

    void call(PendingCall pending, long timeoutMs) {
        pending.start(timeoutMs, MonotonicClock.nowMs());
        scheduleTimeout(pending, timeoutMs);
        mWaiting.add(pending);
        dispatch();
    }

    private void scheduleTimeout(PendingCall call, long delayMs) {
        call.mTimer = mLoop.schedule(() -> onTimer(call), delayMs, TimeUnit.MILLISECONDS);
    }

    private void onTimer(PendingCall call) {
        long remainingMs = call.remainingMs(MonotonicClock.nowMs());
        if (remainingMs > 0) {
            scheduleTimeout(call, remainingMs);
        } else {
            onTimeout(call);
        }
    }

    /** Closes the idle connections; none of them gets another call. */
    void close() {
        List<ClientConnection> idle = List.copyOf(mIdle);
        mIdle.clear();
        idle.forEach(ClientConnection::close);
    }

    private void dispatch() {
        while (!mWaiting.isEmpty()) {
            ClientConnection idle = mIdle.pollLast();
            if (idle != null) {
                send(idle, mWaiting.poll());
            } else if (mOpenConnections < mMaxConnections) {
                open(mWaiting.poll());
            } else {
                closeOldestOverdue();
                return;
            }
        }
    }

    /** Makes room for a waiting call; the call is dispatched once the connection is closed. */
    private void closeOldestOverdue() {
        ClientConnection oldest = mOverdue.poll();
        if (oldest != null) {
            oldest.close();
        }
    }

    private void open(PendingCall call) {
        mOpenConnections++;
        ClientConnection connection = new ClientConnection(this);
        ChannelFuture connected =
                mBootstrap
                        .clone()
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(connection.progressRecorder())
                                                .addLast(new HttpClientCodec())
                                                .addLast(
                                                        new HttpObjectAggregator(
                                                                MAX_RESPONSE_BYTES))
                                                .addLast(connection);
                                    }
                                })
                        .connect(mTarget);
        connected.addListener(
                f -> {
                    if (!f.isSuccess()) {
                        mOpenConnections--;
                        call.finish(new HttpResult.NotSent(String.valueOf(f.cause())));
                        dispatch();
                    } else if (call.isFinished()) {
                        release(connection);
                    } else {
                        send(connection, call);
                    }
                });
    }

    private void send(ClientConnection connection, PendingCall call) {
        if (call.maySend()) {
            connection.send(call);
        } else {
            call.finish(new HttpResult.NotSent("the call may no longer be sent"));
            release(connection);
        }
    }

    /**
     * Fails a call that timed out. Idle connections are closed too: they may be broken in the same
     * way without a reset, and each would cost another call its timeout.
     */
    private void onTimeout(PendingCall call) {
        if (call.isFinished()) {
            return;
        }
        mWaiting.remove(call);
        if (call.mConnection == null) {
            call.finish(new HttpResult.NotSent("timeout before a connection was available"));
            return;
        }
        close();
        ClientConnection connection = call.mConnection;
        HttpResult timeout = new HttpResult.Unanswered("timeout");
        if (call.lateMs() > 0) {
            mOverdue.add(connection);
            call.mTimer = mLoop.schedule(connection::close, call.lateMs(), TimeUnit.MILLISECONDS);
            call.expire(timeout);
        } else {
            connection.close();
            call.finish(timeout);
        }
    }

    void release(ClientConnection connection) {
        mOverdue.remove(connection);
        mIdle.addLast(connection);
        dispatch();
    }

    void onClosed(ClientConnection connection) {
        mOpenConnections--;
        mIdle.remove(connection);
        mOverdue.remove(connection);
        dispatch();
    }

    String hostHeader() {
        return mTarget.getAddress().getHostAddress() + ':' + mTarget.getPort();
    }
}
