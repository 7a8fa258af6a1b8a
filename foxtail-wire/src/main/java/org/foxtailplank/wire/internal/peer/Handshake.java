package org.foxtailplank.wire.internal.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.concurrent.ScheduledFuture;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.foxtailplank.membership.PeerIdentity;
import org.foxtailplank.wire.DisconnectReason;
import org.foxtailplank.wire.generated.peer.HelloProto;

/**
 * Mutual authentication at the start of a connection: both sides prove knowledge of the shared key
 * over both identities and nonces.
 *
 * <p>Until the peer is authenticated, only small frames are accepted, and only for a limited time.
 */
abstract class Handshake extends SimpleChannelInboundHandler<byte[]> {

    static final int PROTOCOL_VERSION = 1;
    static final int MAX_FRAME_BYTES = 1_024;

    private static final int NONCE_BYTES = 16;
    private static final SecureRandom RANDOM = new SecureRandom();

    private final SessionOwner mOwner;
    private ScheduledFuture<?> mTimeout;

    Handshake(SessionOwner owner) {
        super(byte[].class);
        mOwner = owner;
    }

    /** Handles a frame; returns a reason if the connection must be closed. */
    abstract Optional<DisconnectReason> onFrame(ChannelHandlerContext ctx, byte[] frame)
            throws InvalidProtocolBufferException;

    SessionOwner owner() {
        return mOwner;
    }

    byte[] ownHello() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return HelloProto.newBuilder()
                .setProtocol(PROTOCOL_VERSION)
                .setIdentity(Identities.encode(mOwner.self()))
                .setNonce(ByteString.copyFrom(nonce))
                .build()
                .toByteArray();
    }

    /** Returns the sender of a hello; empty if it is not a compatible peer. */
    Optional<PeerIdentity> peerOf(byte[] hello) throws InvalidProtocolBufferException {
        HelloProto proto = HelloProto.parseFrom(hello);
        if (proto.getProtocol() != PROTOCOL_VERSION || proto.getNonce().size() != NONCE_BYTES) {
            return Optional.empty();
        }
        return Identities.decode(proto.getIdentity())
                .filter(peer -> !peer.incarnation().equals(mOwner.self().incarnation()));
    }

    void send(ChannelHandlerContext ctx, MessageLite message) {
        ctx.writeAndFlush(message.toByteArray(), ctx.voidPromise());
    }

    void complete(ChannelHandlerContext ctx, Session session) {
        mTimeout.cancel(false);
        ctx.pipeline().get(FrameDecoder.class).setLimit(mOwner.limits().maxMessageBytes());
        ctx.pipeline().replace(this, "session", new SessionHandler(session, mOwner));
        mOwner.onOpened(session);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        long nanos = mOwner.limits().handshakeTimeout().toNanos();
        mTimeout =
                ctx.executor()
                        .schedule(
                                () -> disconnect(ctx, DisconnectReason.HANDSHAKE_TIMEOUT),
                                nanos,
                                TimeUnit.NANOSECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, byte[] frame) {
        if (!ctx.channel().isActive()) {
            return;
        }
        try {
            onFrame(ctx, frame).ifPresent(reason -> disconnect(ctx, reason));
        } catch (InvalidProtocolBufferException e) {
            disconnect(ctx, DisconnectReason.MALFORMED);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (mTimeout != null) {
            mTimeout.cancel(false);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause.getCause() instanceof TooLongFrameException
                || cause instanceof TooLongFrameException) {
            disconnect(ctx, DisconnectReason.OVERSIZED);
        } else {
            ctx.close();
        }
    }

    void disconnect(ChannelHandlerContext ctx, DisconnectReason reason) {
        mOwner.counters().disconnected(reason, ctx.channel().remoteAddress());
        ctx.close();
    }
}
