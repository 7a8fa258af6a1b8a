package org.foxtailplank.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** HTTP server bound to one address. */
public final class HttpServer {
    /** Pending connections, enough for all callers connecting at once. */
    private static final int BACKLOG = 512;

    /** Sizes of the buffers that a connection is read into, in bytes. */
    private static final int MIN_READ = 64;

    private static final int INITIAL_READ = 2 << 10;
    private static final int MAX_READ = 16 << 10;

    /** Reads of one connection before the others have their turn. */
    private static final int READS_PER_TURN = 2;

    /** No more requests are handled while answers of this size wait to be sent, in bytes. */
    private static final WriteBufferWaterMark UNSENT = new WriteBufferWaterMark(8 << 10, 16 << 10);

    /** Interval at which connections of unfinished requests are checked, in milliseconds. */
    private static final long CHECK_INTERVAL_MS = 250;

    private final EventLoop mLoop;
    private final HttpHandler mHandler;
    private final ServerLimits mLimits;
    private final BodyMemory mMemory;
    private final Set<ServerConnection> mConnections = new HashSet<>();
    private final Set<ServerConnection> mUnfinished = new HashSet<>();
    private final ChannelGroup mChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private Channel mListener;
    private boolean mChecking;
    private boolean mStopping;

    private HttpServer(
            EventLoop loop, ServerLimits limits, BodyMemory memory, HttpHandler handler) {
        mLoop = loop;
        mLimits = limits;
        mMemory = memory;
        mHandler = handler;
    }

    /**
     * Binds an address for known clients, all of whose bodies fit into memory; requests with larger
     * bodies are rejected with status 413.
     */
    public static HttpServer bind(
            EventLoop loop, InetSocketAddress address, int maxBodyBytes, HttpHandler handler)
            throws IOException {
        ServerLimits limits =
                new ServerLimits(maxBodyBytes, Integer.MAX_VALUE, ServerLimits.DEFAULT_REQUEST_MS);
        return bind(loop, address, limits, BodyMemory.unlimited(), handler);
    }

    /** Binds an address for any clients; servers on the same event loop may share the memory. */
    public static HttpServer bind(
            EventLoop loop,
            InetSocketAddress address,
            ServerLimits limits,
            BodyMemory memory,
            HttpHandler handler)
            throws IOException {
        HttpServer server = new HttpServer(loop, limits, memory, handler);
        server.listen(address);
        return server;
    }

    private void listen(InetSocketAddress address) throws IOException {
        var bound =
                new ServerBootstrap()
                        .group(mLoop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new AdaptiveRecvByteBufAllocator(MIN_READ, INITIAL_READ, MAX_READ)
                                        .maxMessagesPerRead(READS_PER_TURN))
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, UNSENT)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        accept(channel);
                                    }
                                })
                        .bind(address)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen on " + address, bound.cause());
        }
        mListener = bound.channel();
    }

    private void accept(Channel channel) {
        if (mConnections.size() >= mLimits.maxConnections() && !closeOldest()) {
            channel.close();
            return;
        }
        RequestDecoder decoder = new RequestDecoder();
        ServerConnection connection = new ServerConnection(this, mHandler, decoder);
        mConnections.add(connection);
        mChannels.add(channel);
        channel.pipeline().addLast(decoder).addLast(new HttpResponseEncoder()).addLast(connection);
    }

    /**
     * Makes room for a connection; returns whether there was one to close. A connection whose
     * request is being handled is kept, unless more requests wait behind that one.
     */
    private boolean closeOldest() {
        Optional<ServerConnection> oldest =
                mConnections.stream()
                        .filter(c -> !c.isBusy() || c.hasWaiting())
                        .min(
                                Comparator.comparing(ServerConnection::isBusy)
                                        .thenComparingLong(ServerConnection::lastAnswerMs));
        oldest.ifPresent(
                c -> {
                    mConnections.remove(c);
                    c.close();
                });
        return oldest.isPresent();
    }

    /** Returns the bound address, with the actual port. */
    public InetSocketAddress address() {
        return (InetSocketAddress) mListener.localAddress();
    }

    /** Disables keep-alive: closes each connection after its pending responses. */
    public void disableKeepAlive() {
        mStopping = true;
    }

    /** Stops accepting new connections. */
    public void stopListening() {
        mListener.close();
    }

    /** Closes all connections at once, as the end of the process would. */
    public void closeConnections() {
        mChannels.close();
    }

    /** Returns the number of requests that have not been answered yet. */
    public int inFlight() {
        int count = 0;
        for (ServerConnection c : mConnections) {
            count += c.isBusy() ? 1 : 0;
        }
        return count;
    }

    ServerLimits limits() {
        return mLimits;
    }

    BodyMemory memory() {
        return mMemory;
    }

    /** Checks this connection from now on, until it is removed. */
    void addUnfinished(ServerConnection connection) {
        mUnfinished.add(connection);
        if (!mChecking) {
            mChecking = true;
            mLoop.schedule(this::checkUnfinished, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    void removeUnfinished(ServerConnection connection) {
        mUnfinished.remove(connection);
    }

    boolean hasUnfinished() {
        return !mUnfinished.isEmpty();
    }

    private void checkUnfinished() {
        long nowMs = MonotonicClock.nowMs();
        List.copyOf(mUnfinished).forEach(c -> c.checkUnfinished(nowMs));
        mChecking = !mUnfinished.isEmpty();
        if (mChecking) {
            mLoop.schedule(this::checkUnfinished, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    boolean isStopping() {
        return mStopping;
    }

    void onClosed(ServerConnection connection) {
        mConnections.remove(connection);
    }
}
