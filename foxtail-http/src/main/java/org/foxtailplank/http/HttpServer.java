package org.foxtailplank.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;

/** A listening HTTP server. */
public final class HttpServer {
    /** Connections that may wait to be taken: a burst of all callers at once. */
    private static final int BACKLOG = 512;

    private final EventLoop mLoop;
    private final HttpHandler mHandler;
    private final int mMaxBodyBytes;
    private final Set<ServerConnection> mConnections = new HashSet<>();
    private Channel mListener;
    private boolean mStopping;

    private HttpServer(EventLoop loop, int maxBodyBytes, HttpHandler handler) {
        mLoop = loop;
        mMaxBodyBytes = maxBodyBytes;
        mHandler = handler;
    }

    /** Listens on an address; larger bodies are refused with 413. */
    public static HttpServer bind(
            EventLoop loop, InetSocketAddress address, int maxBodyBytes, HttpHandler handler)
            throws IOException {
        HttpServer server = new HttpServer(loop, maxBodyBytes, handler);
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

    private void accept(Channel channel) {
        ServerConnection connection = new ServerConnection(this, mHandler);
        mConnections.add(connection);
        channel.pipeline()
                .addLast(new HttpServerCodec())
                .addLast(new HttpObjectAggregator(mMaxBodyBytes, true))
                .addLast(connection);
    }

    /** The address, with the port that the system chose. */
    public InetSocketAddress address() {
        return (InetSocketAddress) mListener.localAddress();
    }

    /** From now on each answer is the last one on its connection. */
    public void stopKeepingOpen() {
        mStopping = true;
    }

    /** Takes no new connections any more. */
    public void stopListening() {
        mListener.close();
    }

    /** Requests that have been read and not yet answered. */
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

    void closed(ServerConnection connection) {
        mConnections.remove(connection);
    }
}
