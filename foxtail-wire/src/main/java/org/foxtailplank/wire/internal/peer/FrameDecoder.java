package org.foxtailplank.wire.internal.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.util.List;

/** Cuts the stream into frames of a four byte length and as many bytes, up to a limit. */
final class FrameDecoder extends ByteToMessageDecoder {

    static final int LENGTH_BYTES = Integer.BYTES;

    private int mLimit;

    FrameDecoder(int limit) {
        mLimit = limit;
    }

    /** Allows larger frames, once the peer has proved its identity. */
    void allow(int limit) {
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
            throw new TooLongFrameException("a frame of " + length + " bytes; limit " + mLimit);
        }
        if (in.readableBytes() < LENGTH_BYTES + length) {
            return;
        }
        byte[] frame = new byte[length];
        in.skipBytes(LENGTH_BYTES).readBytes(frame);
        out.add(frame);
    }
}
