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
import org.foxtailplank.wire.CutReason;
import org.foxtailplank.wire.generated.peer.HelloProto;

/**
 * The start of a connection: both sides prove the shared key over both identities and nonces.
 *
 * <p>Nothing but these small frames is taken, and only for a short time, before the peer's proof is
 * right.
 */
abstract class Handshake extends SimpleChannelInboundHandler<byte[]> {

    static final int PROTOCOL = 1;
    static final int MAX_FRAME_BYTES = 1_024;

    private static final int NONCE_BYTES = 16;
    private static final SecureRandom RANDOM = new SecureRandom();

    private final SessionOwner mOwner;
    private ScheduledFuture<?> mTimeout;

    Handshake(SessionOwner owner) {
        super(byte[].class);
        mOwner = owner;
    }

    /** Takes the next frame, and says why the connection is to be cut if it is. */
    abstract Optional<CutReason> take(ChannelHandlerContext ctx, byte[] frame)
            throws InvalidProtocolBufferException;

    SessionOwner owner() {
        return mOwner;
    }

    byte[] ownHello() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return HelloProto.newBuilder()
                .setProtocol(PROTOCOL)
                .setIdentity(Identities.encode(mOwner.self()))
                .setNonce(ByteString.copyFrom(nonce))
                .build()
                .toByteArray();
    }

    /** Who a hello is from, if it is a peer that this node can talk to. */
    Optional<PeerIdentity> peerOf(byte[] hello) throws InvalidProtocolBufferException {
        HelloProto proto = HelloProto.parseFrom(hello);
        if (proto.getProtocol() != PROTOCOL || proto.getNonce().size() != NONCE_BYTES) {
            return Optional.empty();
        }
        return Identities.decode(proto.getIdentity())
                .filter(peer -> !peer.incarnation().equals(mOwner.self().incarnation()));
    }

    void send(ChannelHandlerContext ctx, MessageLite message) {
        ctx.writeAndFlush(message.toByteArray(), ctx.voidPromise());
    }

    void proved(ChannelHandlerContext ctx, Session session) {
        mTimeout.cancel(false);
        ctx.pipeline().get(FrameDecoder.class).allow(mOwner.limits().maxMessageBytes());
        ctx.pipeline().replace(this, "session", new SessionHandler(session, mOwner));
        mOwner.opened(session);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        long nanos = mOwner.limits().handshake().toNanos();
        mTimeout =
                ctx.executor()
                        .schedule(
                                () -> cut(ctx, CutReason.HANDSHAKE_TIMEOUT),
                                nanos,
                                TimeUnit.NANOSECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, byte[] frame) {
        if (!ctx.channel().isActive()) {
            return;
        }
        try {
            take(ctx, frame).ifPresent(reason -> cut(ctx, reason));
        } catch (InvalidProtocolBufferException e) {
            cut(ctx, CutReason.GARBAGE);
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
            cut(ctx, CutReason.OVERSIZED);
        } else {
            ctx.close();
        }
    }

    void cut(ChannelHandlerContext ctx, CutReason reason) {
        mOwner.counters().cut(reason, ctx.channel().remoteAddress());
        ctx.close();
    }
}
