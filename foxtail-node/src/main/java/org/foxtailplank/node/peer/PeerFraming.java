package org.foxtailplank.node.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.util.function.Supplier;

/** Framing of peer connections: a four-byte length, then the frame. */
final class PeerFraming {
    /** Largest frame, in bytes: the largest journal record plus a margin. */
    private static final int MAX_FRAME_BYTES = 1 << 20;

    private PeerFraming() {}

    static ChannelInitializer<Channel> initializer(Supplier<ChannelHandler> handler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(
                                new LengthFieldBasedFrameDecoder(
                                        MAX_FRAME_BYTES, 0, Integer.BYTES, 0, Integer.BYTES))
                        .addLast(handler.get());
            }
        };
    }
}
