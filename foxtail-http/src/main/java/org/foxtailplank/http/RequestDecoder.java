package org.foxtailplank.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decodes requests. While it is paused, received bytes stay as they are: decoded requests and small
 * chunks take many times the memory.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private ChannelHandlerContext mContext;
    private long mReceived;
    private boolean mPaused;
    private boolean mDecoding;
    private boolean mStarted;
    private boolean mDiscarding;

    RequestDecoder() {
        super(
                new HttpDecoderConfig()
                        .setHeadersFactory(LimitedHeaders.FACTORY)
                        .setTrailersFactory(LimitedHeaders.FACTORY));
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
    }

    /** Returns the number of bytes received so far. */
    long received() {
        return mReceived;
    }

    /** Returns whether a part of a request has been decoded, but not its end. */
    boolean isStarted() {
        return mStarted;
    }

    boolean isDiscarding() {
        return mDiscarding;
    }

    /** Discards the rest of the current request and all that follows. */
    void discard() {
        mDiscarding = true;
    }

    void pause() {
        mPaused = true;
    }

    /** Goes on with the bytes that were received before the pause. */
    void resume() throws Exception {
        mPaused = false;
        if (!mDecoding && actualReadableBytes() > 0) {
            channelRead(mContext, Unpooled.EMPTY_BUFFER);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        mReceived += ((ByteBuf) message).readableBytes();
        mDecoding = true;
        try {
            super.channelRead(context, message);
        } finally {
            mDecoding = false;
        }
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws Exception {
        if (mDiscarding) {
            in.skipBytes(in.readableBytes());
        } else if (!mPaused) {
            mStarted = mStarted || in.forEachByte(RequestDecoder::isSkipped) >= 0;
            super.decode(context, in, out);
            int size = out.size();
            if (size > 0 && out.get(size - 1) instanceof LastHttpContent) {
                mStarted = false;
            }
        }
    }

    /** Whether a byte before a request is skipped, such as those of an additional line break. */
    private static boolean isSkipped(byte value) {
        return Character.isISOControl(value) || Character.isWhitespace(value);
    }

    /** Drops a request that the end of the connection cuts short. */
    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        in.skipBytes(in.readableBytes());
    }
}
