package org.foxtailplank.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;

/** TCP proxy whose two directions can be paused independently. */
public final class PausableProxy implements AutoCloseable {

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ChannelGroup mForward = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final ChannelGroup mBackward = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Channel mServerChannel;
    private volatile boolean mForwardPaused;
    private volatile boolean mBackwardPaused;

    public PausableProxy(InetSocketAddress target) {
        mServerChannel =
                new ServerBootstrap()
                        .group(mGroup)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel client) {
                                        connect(client, target);
                                    }
                                })
                        .bind("127.0.0.1", 0)
                        .syncUninterruptibly()
                        .channel();
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) mServerChannel.localAddress();
    }

    /** Pauses or resumes the direction from the connecting to the accepting side. */
    public void pauseForward(boolean paused) {
        mForwardPaused = paused;
        mForward.forEach(channel -> channel.config().setAutoRead(!paused));
    }

    /** Pauses or resumes the direction from the accepting to the connecting side. */
    public void pauseBackward(boolean paused) {
        mBackwardPaused = paused;
        mBackward.forEach(channel -> channel.config().setAutoRead(!paused));
    }

    private void connect(Channel client, InetSocketAddress target) {
        Channel server =
                new Bootstrap()
                        .group(client.eventLoop())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.AUTO_READ, false)
                        .handler(new Relay(client))
                        .connect(target)
                        .addListener(
                                done -> {
                                    client.config().setAutoRead(!mForwardPaused);
                                    if (!done.isSuccess()) {
                                        client.close();
                                    }
                                })
                        .channel();
        client.pipeline().addLast(new Relay(server));
        mForward.add(client);
        mBackward.add(server);
        server.closeFuture().addListener(closed -> client.close());
        server.config().setAutoRead(!mBackwardPaused);
    }

    @Override
    public void close() {
        mServerChannel.close();
        mForward.close();
        mBackward.close();
        mGroup.shutdownGracefully();
    }

    /** Forwards data and close events to another channel. */
    private static final class Relay extends ChannelInboundHandlerAdapter {

        private final Channel mTo;

        Relay(Channel to) {
            mTo = to;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            mTo.writeAndFlush(bytes);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            mTo.close();
        }
    }
}
