package org.foxtailplank.wire.internal.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.ChannelHandlerContext;
import java.security.MessageDigest;
import java.util.Optional;
import org.foxtailplank.membership.PeerIdentity;
import org.foxtailplank.wire.DisconnectReason;
import org.foxtailplank.wire.generated.peer.ChallengeProto;
import org.foxtailplank.wire.generated.peer.ProofProto;

/** Handshake of the connecting side. */
final class ConnectingHandshake extends Handshake {

    private final byte[] mHello;

    ConnectingHandshake(SessionOwner owner) {
        super(owner);
        mHello = ownHello();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        super.channelActive(ctx);
        ctx.writeAndFlush(mHello, ctx.voidPromise());
    }

    @Override
    Optional<DisconnectReason> onFrame(ChannelHandlerContext ctx, byte[] frame)
            throws InvalidProtocolBufferException {
        ChallengeProto challenge = ChallengeProto.parseFrom(frame);
        byte[] hello = challenge.getHello().toByteArray();
        byte[] transcript = PeerKey.transcript(mHello, hello);
        byte[] expected = owner().key().acceptorProof(transcript);
        if (!MessageDigest.isEqual(expected, challenge.getProof().toByteArray())) {
            return Optional.of(DisconnectReason.WRONG_KEY);
        }
        Optional<PeerIdentity> peer = peerOf(hello);
        if (peer.isEmpty()) {
            return Optional.of(DisconnectReason.INCOMPATIBLE);
        }
        byte[] proof = owner().key().connectorProof(transcript);
        send(ctx, ProofProto.newBuilder().setProof(ByteString.copyFrom(proof)).build());
        FrameAuthenticator authenticator = owner().key().connectorAuthenticator(transcript);
        complete(
                ctx,
                new Session(ctx.channel(), peer.get(), true, authenticator, owner().counters()));
        return Optional.empty();
    }
}
