package org.foxtailplank.wire.internal.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/** Counts the bytes read from and written to a connection. */
final class ByteCounter extends ChannelDuplexHandler {

    private final Counters mCounters;

    ByteCounter(Counters counters) {
        mCounters = counters;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof ByteBuf bytes) {
            mCounters.mBytesIn.add(bytes.readableBytes());
        }
        ctx.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf bytes) {
            mCounters.mBytesOut.add(bytes.readableBytes());
        }
        ctx.write(message, promise);
    }
}
