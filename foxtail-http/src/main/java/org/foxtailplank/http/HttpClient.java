package org.foxtailplank.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Sends requests over connections that are kept open, one request at a time on each. */
public final class HttpClient {
    private final Bootstrap mBootstrap;
    private final EventLoop mLoop;
    private final int mMaxPerTarget;
    private final Map<InetSocketAddress, TargetPool> mPools = new HashMap<>();

    /**
     * A client.
     *
     * @param loop the event loop on whose thread all happens
     * @param connectTimeoutMs how long a connection may take to open, in milliseconds
     * @param maxPerTarget most connections to one address; further calls wait for one
     */
    public HttpClient(EventLoop loop, int connectTimeoutMs, int maxPerTarget) {
        mLoop = loop;
        mMaxPerTarget = maxPerTarget;
        mBootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs);
    }

    /**
     * A client that resets connections instead of closing them. What waits in a connection to a
     * target that can't be reached is dropped by a reset, while after a close it arrives as soon as
     * the path is back.
     */
    public static HttpClient resetting(EventLoop loop, int connectTimeoutMs, int maxPerTarget) {
        HttpClient client = new HttpClient(loop, connectTimeoutMs, maxPerTarget);
        client.mBootstrap.option(ChannelOption.SO_LINGER, 0);
        return client;
    }

    /** Sends a request and hands on what came of it, after this many milliseconds at most. */
    public void call(
            InetSocketAddress target, HttpCall call, long timeoutMs, Consumer<HttpResult> then) {
        call(target, call, timeoutMs, () -> true, then);
    }

    /**
     * The same for a request that may only be sent while a condition holds. It is asked just before
     * the first byte is written: this process may have been paused since the call was made.
     */
    public void call(
            InetSocketAddress target,
            HttpCall call,
            long timeoutMs,
            BooleanSupplier maySend,
            Consumer<HttpResult> then) {
        TargetPool pool =
                mPools.computeIfAbsent(
                        target, t -> new TargetPool(mBootstrap, mLoop, t, mMaxPerTarget));
        pool.call(new PendingCall(call, maySend, then), timeoutMs);
    }

    /** Closes the connections to an address that is not needed any more. */
    public void forget(InetSocketAddress target) {
        TargetPool pool = mPools.remove(target);
        if (pool != null) {
            pool.close();
        }
    }
}
