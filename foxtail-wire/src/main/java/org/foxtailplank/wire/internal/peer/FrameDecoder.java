package org.foxtailplank.wire.internal.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.util.List;

/** Decodes frames with a length prefix of four bytes, up to a maximum length. */
final class FrameDecoder extends ByteToMessageDecoder {

    static final int LENGTH_BYTES = Integer.BYTES;

    private int mLimit;

    FrameDecoder(int limit) {
        mLimit = limit;
    }

    /** Sets the maximum length of a frame. */
    void setLimit(int limit) {
        mLimit = limit;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (in.readableBytes() < LENGTH_BYTES) {
            return;
        }
        int length = in.getInt(in.readerIndex());
        if (length < 0 || length > mLimit) {
            in.skipBytes(in.readableBytes());
            throw new TooLongFrameException(
                    "frame length " + length + " exceeds the limit of " + mLimit);
        }
        if (in.readableBytes() < LENGTH_BYTES + length) {
            return;
        }
        byte[] frame = new byte[length];
        in.skipBytes(LENGTH_BYTES).readBytes(frame);
        out.add(frame);
    }
}
