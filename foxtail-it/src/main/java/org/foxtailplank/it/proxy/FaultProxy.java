package org.foxtailplank.it.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A TCP proxy that can cut, delay, truncate and reset what goes through it.
 *
 * <p>A cut holds bytes back without closing anything, as a network partition does: whatever was
 * sent meanwhile arrives when it heals.
 */
public final class FaultProxy implements AutoCloseable {

    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

    private final EventLoopGroup mLoop =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final FaultState mFaults = new FaultState();
    private final Set<Link> mLinks = ConcurrentHashMap.newKeySet();
    private final InetSocketAddress mTarget;
    private final Channel mServer;

    private FaultProxy(InetSocketAddress target) {
        mTarget = target;
        mServer =
                new ServerBootstrap()
                        .group(mLoop)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel client) {
                                        connect(client);
                                    }
                                })
                        .bind(ANY_PORT)
                        .syncUninterruptibly()
                        .channel();
    }

    /** A proxy in front of an address, without faults. */
    public static FaultProxy before(InetSocketAddress target) {
        return new FaultProxy(target);
    }

    /** The address to connect to in place of the target's. */
    public InetSocketAddress address() {
        return (InetSocketAddress) mServer.localAddress();
    }

    /** Holds back everything, both ways. */
    public void cut() {
        cut(Direction.TO_TARGET);
        cut(Direction.TO_CLIENT);
    }

    /** Holds back what goes one way. */
    public void cut(Direction direction) {
        mFaults.hold(direction);
    }

    /** Lets everything arrive later. */
    public void delay(Duration delay) {
        mFaults.delay(delay);
    }

    /** Carries so many bytes a second each way, over all connections together. */
    public void rate(double bytesPerS) {
        mFaults.rate(bytesPerS);
    }

    /** Closes each connection once so many bytes went one way. */
    public void truncate(Direction direction, long bytes) {
        mFaults.truncate(direction, bytes);
    }

    /** Resets all connections that are open. */
    public void reset() {
        mLinks.forEach(Link::reset);
    }

    /** Lets nothing more through on the connections that are open, for good. */
    public void silence() {
        mLinks.forEach(Link::silence);
    }

    /** Ends all faults; what was held back arrives. */
    public void heal() {
        mFaults.heal();
        mLinks.forEach(Link::pump);
    }

    @Override
    public void close() {
        mServer.close().syncUninterruptibly();
        mLinks.forEach(Link::reset);
        mLoop.shutdownGracefully();
    }

    private void connect(Channel client) {
        new Bootstrap()
                .group(client.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(mTarget)
                .addListener(
                        (ChannelFuture f) -> {
                            if (f.isSuccess()) {
                                join(client, f.channel());
                            } else {
                                client.close();
                            }
                        });
    }

    private void join(Channel client, Channel target) {
        Link link = new Link(client, target);
        mLinks.add(link);
        client.pipeline().addLast(new Forwarder(link, link.mToTarget));
        target.pipeline().addLast(new Forwarder(link, link.mToClient));
        client.config().setAutoRead(true);
        target.config().setAutoRead(true);
    }

    /** The two halves of one connection, on one event loop. */
    private final class Link {

        private final Channel mClient;
        private final Channel mTargetChannel;
        private final Pipe mToTarget;
        private final Pipe mToClient;

        private Link(Channel client, Channel target) {
            mClient = client;
            mTargetChannel = target;
            mToTarget = new Pipe(mFaults, Direction.TO_TARGET, target);
            mToClient = new Pipe(mFaults, Direction.TO_CLIENT, client);
        }

        private void pump() {
            mClient.eventLoop()
                    .execute(
                            () -> {
                                mToTarget.pump();
                                mToClient.pump();
                            });
        }

        private void silence() {
            mClient.eventLoop()
                    .execute(
                            () -> {
                                mToTarget.silence();
                                mToClient.silence();
                            });
        }

        private void reset() {
            mClient.eventLoop()
                    .execute(
                            () -> {
                                reset(mClient);
                                reset(mTargetChannel);
                            });
        }

        private void reset(Channel channel) {
            if (channel.isActive()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                channel.close();
            }
        }

        private void closed() {
            if (!mClient.isActive() && !mTargetChannel.isActive()) {
                mLinks.remove(this);
                mToTarget.release();
                mToClient.release();
            }
        }
    }

    /** Hands what one channel receives to a pipe. */
    private static final class Forwarder extends ChannelInboundHandlerAdapter {

        private final Link mLink;
        private final Pipe mPipe;

        private Forwarder(Link link, Pipe pipe) {
            mLink = link;
            mPipe = pipe;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            mPipe.take((ByteBuf) message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mPipe.end();
            mLink.closed();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
