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

/** The handshake of the side that accepts. */
final class AcceptingHandshake extends Handshake {

    private boolean mCounted;
    private Optional<PeerIdentity> mPeer = Optional.empty();
    private byte[] mTranscript;

    AcceptingHandshake(SessionOwner owner) {
        super(owner);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        super.channelActive(ctx);
        mCounted = owner().admitUnproved();
        if (!mCounted) {
            cut(ctx, CutReason.TOO_MANY);
        }
    }

    @Override
    Optional<CutReason> take(ChannelHandlerContext ctx, byte[] frame)
            throws InvalidProtocolBufferException {
        return mPeer.isEmpty() ? takeHello(ctx, frame) : takeProof(ctx, frame);
    }

    private Optional<CutReason> takeHello(ChannelHandlerContext ctx, byte[] hello)
            throws InvalidProtocolBufferException {
        mPeer = peerOf(hello);
        if (mPeer.isEmpty()) {
            return Optional.of(CutReason.NOT_A_PEER);
        }
        byte[] own = ownHello();
        mTranscript = PeerKey.transcript(hello, own);
        byte[] proof = owner().key().acceptorProof(mTranscript);
        send(
                ctx,
                ChallengeProto.newBuilder()
                        .setHello(ByteString.copyFrom(own))
                        .setProof(ByteString.copyFrom(proof))
                        .build());
        return Optional.empty();
    }

    private Optional<CutReason> takeProof(ChannelHandlerContext ctx, byte[] frame)
            throws InvalidProtocolBufferException {
        byte[] expected = owner().key().connectorProof(mTranscript);
        byte[] proof = ProofProto.parseFrom(frame).getProof().toByteArray();
        if (!MessageDigest.isEqual(expected, proof)) {
            return Optional.of(CutReason.BAD_KEY);
        }
        done();
        FrameSeal seal = owner().key().acceptorSeal(mTranscript);
        proved(ctx, new Session(ctx.channel(), mPeer.get(), false, seal, owner().counters()));
        return Optional.empty();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        super.channelInactive(ctx);
        done();
    }

    private void done() {
        if (mCounted) {
            mCounted = false;
            owner().unprovedDone();
        }
    }
}
