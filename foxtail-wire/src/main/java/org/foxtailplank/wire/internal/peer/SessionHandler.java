package org.foxtailplank.wire.internal.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import java.util.Optional;
import org.foxtailplank.wire.DisconnectReason;
import org.foxtailplank.wire.generated.peer.EnvelopeProto;

/** Verifies and parses the frames of an authenticated connection. */
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
        Optional<byte[]> message = mSession.verify(frame);
        if (message.isEmpty()) {
            mSession.disconnect(DisconnectReason.INVALID_MAC);
            return;
        }
        try {
            mOwner.onReceived(mSession, EnvelopeProto.parseFrom(message.get()));
        } catch (InvalidProtocolBufferException e) {
            mSession.disconnect(DisconnectReason.MALFORMED);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        mSession.onWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        mOwner.onClosed(mSession);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause.getCause() instanceof TooLongFrameException
                || cause instanceof TooLongFrameException) {
            mSession.disconnect(DisconnectReason.OVERSIZED);
        } else {
            ctx.close();
        }
    }
}
