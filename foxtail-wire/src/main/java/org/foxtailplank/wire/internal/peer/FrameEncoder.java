package org.foxtailplank.wire.internal.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;

/** Prepends the length to each frame. */
final class FrameEncoder extends MessageToByteEncoder<byte[]> {

    FrameEncoder() {
        super(byte[].class, false);
    }

    @Override
    protected void encode(ChannelHandlerContext ctx, byte[] frame, ByteBuf out) {
        out.ensureWritable(FrameDecoder.LENGTH_BYTES + frame.length);
        out.writeInt(frame.length).writeBytes(frame);
    }
}
