package org.foxtailplank.wire.internal.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.ChannelHandlerContext;
import java.security.MessageDigest;
import java.util.Optional;
import org.foxtailplank.membership.PeerIdentity;
import org.foxtailplank.wire.CutReason;
import org.foxtailplank.wire.generated.peer.ChallengeProto;
import org.foxtailplank.wire.generated.peer.ProofProto;

/** The handshake of the side that connects. */
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
    Optional<CutReason> take(ChannelHandlerContext ctx, byte[] frame)
            throws InvalidProtocolBufferException {
        ChallengeProto challenge = ChallengeProto.parseFrom(frame);
        byte[] hello = challenge.getHello().toByteArray();
        byte[] transcript = PeerKey.transcript(mHello, hello);
        byte[] expected = owner().key().acceptorProof(transcript);
        if (!MessageDigest.isEqual(expected, challenge.getProof().toByteArray())) {
            return Optional.of(CutReason.BAD_KEY);
        }
        Optional<PeerIdentity> peer = peerOf(hello);
        if (peer.isEmpty()) {
            return Optional.of(CutReason.NOT_A_PEER);
        }
        byte[] proof = owner().key().connectorProof(transcript);
        send(ctx, ProofProto.newBuilder().setProof(ByteString.copyFrom(proof)).build());
        FrameSeal seal = owner().key().connectorSeal(transcript);
        proved(ctx, new Session(ctx.channel(), peer.get(), true, seal, owner().counters()));
        return Optional.empty();
    }
}
