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

/** A path to one address on which bytes can be held back, each direction by itself. */
public final class HoldingProxy implements AutoCloseable {

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ChannelGroup mForward = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final ChannelGroup mBack = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Channel mListening;
    private volatile boolean mHoldForward;
    private volatile boolean mHoldBack;

    public HoldingProxy(InetSocketAddress target) {
        mListening =
                new ServerBootstrap()
                        .group(mGroup)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel client) {
                                        join(client, target);
                                    }
                                })
                        .bind("127.0.0.1", 0)
                        .syncUninterruptibly()
                        .channel();
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) mListening.localAddress();
    }

    /** Holds back what the connecting side sends, or lets it go on. */
    public void holdForward(boolean hold) {
        mHoldForward = hold;
        mForward.forEach(channel -> channel.config().setAutoRead(!hold));
    }

    /** Holds back what the accepting side sends, or lets it go on. */
    public void holdBack(boolean hold) {
        mHoldBack = hold;
        mBack.forEach(channel -> channel.config().setAutoRead(!hold));
    }

    private void join(Channel client, InetSocketAddress target) {
        Channel server =
                new Bootstrap()
                        .group(client.eventLoop())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.AUTO_READ, false)
                        .handler(new PassOn(client))
                        .connect(target)
                        .addListener(
                                done -> {
                                    client.config().setAutoRead(!mHoldForward);
                                    if (!done.isSuccess()) {
                                        client.close();
                                    }
                                })
                        .channel();
        client.pipeline().addLast(new PassOn(server));
        mForward.add(client);
        mBack.add(server);
        server.closeFuture().addListener(closed -> client.close());
        server.config().setAutoRead(!mHoldBack);
    }

    @Override
    public void close() {
        mListening.close();
        mForward.close();
        mBack.close();
        mGroup.shutdownGracefully();
    }

    /** Passes what one channel reads on to another one. */
    private static final class PassOn extends ChannelInboundHandlerAdapter {

        private final Channel mTo;

        PassOn(Channel to) {
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
