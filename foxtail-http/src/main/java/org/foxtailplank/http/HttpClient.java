package org.foxtailplank.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
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

    /** Sends a request and hands on what came of it, after this many milliseconds at most. */
    public void call(
            InetSocketAddress target, HttpCall call, long timeoutMs, Consumer<HttpResult> then) {
        TargetPool pool =
                mPools.computeIfAbsent(
                        target, t -> new TargetPool(mBootstrap, mLoop, t, mMaxPerTarget));
        pool.call(call, timeoutMs, then);
    }

    /** Closes the connections to an address that is not needed any more. */
    public void forget(InetSocketAddress target) {
        TargetPool pool = mPools.remove(target);
        if (pool != null) {
            pool.close();
        }
    }
}
