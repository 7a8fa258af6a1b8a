package org.foxtailplank.wire.internal.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.foxtailplank.wire.PeerLinkException;

/** Sockets of a peer link and the single event loop that serves them. */
final class Transport {

    private static final int LOW_WATER_BYTES = 32 * 1024;
    private static final int HIGH_WATER_BYTES = 64 * 1024;
    private static final int MIN_READ_BYTES = 256;
    private static final int INITIAL_READ_BYTES = 1_024;
    private static final int MAX_READ_BYTES = 32 * 1024;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int BACKLOG = 128;
    private static final long SHUTDOWN_MILLIS = 500;

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(
                    1, new DefaultThreadFactory("foxtail-peer", true), NioIoHandler.newFactory());
    private final EventLoop mLoop = mGroup.next();
    private final ChannelGroup mChannels =
            new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final Counters mCounters;

    Transport(Counters counters) {
        mCounters = counters;
    }

    EventLoop loop() {
        return mLoop;
    }

    /**
     * Binds an address without accepting connections yet, since the owner may not be fully
     * constructed; {@code setAutoRead(true)} on the channel starts to accept.
     */
    Channel listen(InetSocketAddress address, Supplier<ChannelHandler> handshake)
            throws PeerLinkException {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(mGroup)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.AUTO_READ, false)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.ALLOCATOR, allocator())
                        .childOption(ChannelOption.RECVBUF_ALLOCATOR, receiveAllocator())
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                        .childHandler(pipeline(handshake))
                        .bind(address)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            stop();
            throw new PeerLinkException(
                    "The peer link cannot listen on "
                            + address
                            + ". Another process may use that address; free it or change the"
                            + " node's peers address in the settings.",
                    bound.cause());
        }
        mChannels.add(bound.channel());
        return bound.channel();
    }

    ChannelFuture connect(InetSocketAddress address, Supplier<ChannelHandler> handshake) {
        mCounters.mConnects.increment();
        return new Bootstrap()
                .group(mLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOCATOR, allocator())
                .option(ChannelOption.RECVBUF_ALLOCATOR, receiveAllocator())
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                .handler(pipeline(handshake))
                .connect(address);
    }

    /**
     * Closes all channels, then stops the event loop.
     *
     * <p>A loop that is shut down while it accepts a connection may leave the listening socket
     * open, so that the address cannot be bound again.
     */
    void stop() {
        mChannels.close().awaitUninterruptibly(SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS);
        mGroup.shutdownGracefully(0, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(SHUTDOWN_MILLIS * 2, TimeUnit.MILLISECONDS);
    }

    private ChannelInitializer<Channel> pipeline(Supplier<ChannelHandler> handshake) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                mChannels.add(channel);
                channel.pipeline()
                        .addLast(new ByteCounter(mCounters))
                        .addLast(new FrameDecoder(Handshake.MAX_FRAME_BYTES))
                        .addLast(new FrameEncoder())
                        .addLast(handshake.get());
            }
        };
    }

    /** Unpooled, since pools would take megabytes for a few messages per second. */
    private static UnpooledByteBufAllocator allocator() {
        return UnpooledByteBufAllocator.DEFAULT;
    }

    private static AdaptiveRecvByteBufAllocator receiveAllocator() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
    }

    private static WriteBufferWaterMark waterMark() {
        return new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES);
    }
}
