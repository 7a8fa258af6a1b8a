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

/** HTTP client with persistent connections that each carry one request at a time. */
public final class HttpClient {
    private final Bootstrap mBootstrap;
    private final EventLoop mLoop;
    private final int mMaxPerTarget;
    private final Map<InetSocketAddress, TargetPool> mPools = new HashMap<>();

    /**
     * Creates a client that closes its connections in the usual way.
     *
     * @param loop event loop that serves all connections and callbacks
     * @param connectTimeoutMs connect timeout in milliseconds
     * @param maxPerTarget maximum number of connections to one address; further calls are queued
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
     * Creates a client that resets connections instead of closing them, so that requests buffered
     * for an unreachable target are dropped and not delivered once it is reachable again.
     */
    public static HttpClient resetting(EventLoop loop, int connectTimeoutMs, int maxPerTarget) {
        HttpClient client = new HttpClient(loop, connectTimeoutMs, maxPerTarget);
        client.mBootstrap.option(ChannelOption.SO_LINGER, 0);
        return client;
    }

    /** Sends a request and reports its outcome within the timeout. */
    public void call(
            InetSocketAddress target,
            HttpCall call,
            long timeoutMs,
            Consumer<HttpResult> callback) {
        call(target, call, timeoutMs, () -> true, callback);
    }

    /**
     * Sends a request only if a condition holds. The condition is evaluated right before the
     * request is written, since the process may have been paused after the call was made.
     */
    public void call(
            InetSocketAddress target,
            HttpCall call,
            long timeoutMs,
            BooleanSupplier maySend,
            Consumer<HttpResult> callback) {
        pool(target).call(new PendingCall(call, maySend, 0, 0, callback), timeoutMs);
    }

    /**
     * Sends a request whose response is of use even after the timeout. A response that arrives up
     * to {@code lateMs} after it is reported by a second call of the callback, which follows the
     * one with {@link HttpResult.Unanswered}.
     */
    public void callAcceptingLate(
            InetSocketAddress target,
            HttpCall call,
            long timeoutMs,
            long lateMs,
            Consumer<HttpResult> callback) {
        pool(target).call(new PendingCall(call, () -> true, lateMs, 0, callback), timeoutMs);
    }

    /**
     * Sends a request whose response may be large. The timeout restarts whenever a part of the
     * response arrives: giving up a response that is still arriving over a slow link would waste
     * what the link has carried, and the next attempt would fail in the same way.
     *
     * @param timeoutMs longest time without progress, in milliseconds
     * @param maxMs longest time in all, in milliseconds
     */
    public void callReceivingLarge(
            InetSocketAddress target,
            HttpCall call,
            long timeoutMs,
            long maxMs,
            Consumer<HttpResult> callback) {
        pool(target).call(new PendingCall(call, () -> true, 0, maxMs, callback), timeoutMs);
    }

    private TargetPool pool(InetSocketAddress target) {
        return mPools.computeIfAbsent(
                target, t -> new TargetPool(mBootstrap, mLoop, t, mMaxPerTarget));
    }

    /** Closes the idle connections to an address and removes its pool. */
    public void removeTarget(InetSocketAddress target) {
        TargetPool pool = mPools.remove(target);
        if (pool != null) {
            pool.close();
        }
    }
}
