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

/** Handshake of the accepting side. */
final class AcceptingHandshake extends Handshake {

    private boolean mAdmitted;
    private Optional<PeerIdentity> mPeer = Optional.empty();
    private byte[] mTranscript;

    AcceptingHandshake(SessionOwner owner) {
        super(owner);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        super.channelActive(ctx);
        mAdmitted = owner().tryAdmitUnauthenticated();
        if (!mAdmitted) {
            disconnect(ctx, DisconnectReason.TOO_MANY_CONNECTIONS);
        }
    }

    @Override
    Optional<DisconnectReason> onFrame(ChannelHandlerContext ctx, byte[] frame)
            throws InvalidProtocolBufferException {
        return mPeer.isEmpty() ? onHello(ctx, frame) : onProof(ctx, frame);
    }

    private Optional<DisconnectReason> onHello(ChannelHandlerContext ctx, byte[] hello)
            throws InvalidProtocolBufferException {
        mPeer = peerOf(hello);
        if (mPeer.isEmpty()) {
            return Optional.of(DisconnectReason.INCOMPATIBLE);
        }
        byte[] ownHello = ownHello();
        mTranscript = PeerKey.transcript(hello, ownHello);
        byte[] proof = owner().key().acceptorProof(mTranscript);
        send(
                ctx,
                ChallengeProto.newBuilder()
                        .setHello(ByteString.copyFrom(ownHello))
                        .setProof(ByteString.copyFrom(proof))
                        .build());
        return Optional.empty();
    }

    private Optional<DisconnectReason> onProof(ChannelHandlerContext ctx, byte[] frame)
            throws InvalidProtocolBufferException {
        byte[] expected = owner().key().connectorProof(mTranscript);
        byte[] proof = ProofProto.parseFrom(frame).getProof().toByteArray();
        if (!MessageDigest.isEqual(expected, proof)) {
            return Optional.of(DisconnectReason.WRONG_KEY);
        }
        release();
        FrameAuthenticator authenticator = owner().key().acceptorAuthenticator(mTranscript);
        complete(
                ctx,
                new Session(ctx.channel(), mPeer.get(), false, authenticator, owner().counters()));
        return Optional.empty();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        super.channelInactive(ctx);
        release();
    }

    private void release() {
        if (mAdmitted) {
            mAdmitted = false;
            owner().releaseUnauthenticated();
        }
    }
}
