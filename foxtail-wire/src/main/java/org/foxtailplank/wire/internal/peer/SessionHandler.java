package org.foxtailplank.wire.internal.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import java.util.Optional;
import org.foxtailplank.wire.CutReason;
import org.foxtailplank.wire.generated.peer.EnvelopeProto;

/** Takes the frames of a proved connection. */
final class SessionHandler extends SimpleChannelInboundHandler<byte[]> {

    private final Session mSession;
    private final SessionOwner mOwner;

    SessionHandler(Session session, SessionOwner owner) {
        super(byte[].class);
        mSession = session;
        mOwner = owner;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, byte[] frame) {
        Optional<byte[]> message = mSession.open(frame);
        if (message.isEmpty()) {
            mSession.cut(CutReason.FORGED);
            return;
        }
        try {
            mOwner.received(mSession, EnvelopeProto.parseFrom(message.get()));
        } catch (InvalidProtocolBufferException e) {
            mSession.cut(CutReason.GARBAGE);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        mSession.writabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        mOwner.closed(mSession);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause.getCause() instanceof TooLongFrameException
                || cause instanceof TooLongFrameException) {
            mSession.cut(CutReason.OVERSIZED);
        } else {
            ctx.close();
        }
    }
}
