package org.foxtailplank.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.flow.FlowControlHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** HTTP server bound to one address. */
public final class HttpServer {
    /** Pending connections, enough for all callers connecting at once. */
    private static final int BACKLOG = 512;

    private final EventLoop mLoop;
    private final HttpHandler mHandler;
    private final ServerLimits mLimits;
    private final Set<ServerConnection> mConnections = new HashSet<>();
    private final ChannelGroup mChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private Channel mListener;
    private boolean mStopping;

    private HttpServer(EventLoop loop, ServerLimits limits, HttpHandler handler) {
        mLoop = loop;
        mLimits = limits;
        mHandler = handler;
    }

    /** Binds an address for known clients, with any number of connections. */
    public static HttpServer bind(
            EventLoop loop, InetSocketAddress address, int maxBodyBytes, HttpHandler handler)
            throws IOException {
        return bind(loop, address, new ServerLimits(maxBodyBytes, Integer.MAX_VALUE), handler);
    }

    /** Binds an address for any clients. */
    public static HttpServer bind(
            EventLoop loop, InetSocketAddress address, ServerLimits limits, HttpHandler handler)
            throws IOException {
        HttpServer server = new HttpServer(loop, limits, handler);
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

    /**
     * Sets up a connection. {@link ServerConnection} limits how many pipelined requests wait; the
     * codec's own limit would close the connection.
     */
    private void accept(Channel channel) {
        if (mConnections.size() >= mLimits.maxConnections() && !closeOldest()) {
            channel.close();
            return;
        }
        ServerConnection connection = new ServerConnection(this, mHandler);
        mConnections.add(connection);
        mChannels.add(channel);
        channel.pipeline()
                .addLast(new HttpServerCodec(new HttpDecoderConfig(), Integer.MAX_VALUE))
                .addLast(new FlowControlHandler())
                .addLast(new HttpObjectAggregator(mLimits.maxBodyBytes(), true))
                .addLast(connection);
    }

    /** Makes room for a connection; returns whether there was one to close. */
    private boolean closeOldest() {
        Optional<ServerConnection> oldest =
                mConnections.stream()
                        .filter(c -> !c.isBusy())
                        .min(Comparator.comparingLong(ServerConnection::lastAnswerMs));
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

    boolean isStopping() {
        return mStopping;
    }

    void onClosed(ServerConnection connection) {
        mConnections.remove(connection);
    }
}
