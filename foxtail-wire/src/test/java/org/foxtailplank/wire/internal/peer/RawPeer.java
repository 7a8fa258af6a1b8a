package org.foxtailplank.wire.internal.peer;

import com.google.protobuf.ByteString;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Random;
import java.util.Set;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.membership.Incarnation;
import org.foxtailplank.membership.NodeRole;
import org.foxtailplank.membership.PeerIdentity;
import org.foxtailplank.wire.generated.peer.ChallengeProto;
import org.foxtailplank.wire.generated.peer.EnvelopeProto;
import org.foxtailplank.wire.generated.peer.HelloProto;
import org.foxtailplank.wire.generated.peer.ProofProto;

/** Scripted peer that can send arbitrary bytes. */
final class RawPeer implements AutoCloseable {

    private static final int NONCE_BYTES = 16;
    private static final int READ_TIMEOUT_MILLIS = 20_000;

    private final Socket mSocket = new Socket();
    private final DataInputStream mIn;
    private final DataOutputStream mOut;
    private FrameAuthenticator mAuthenticator;

    RawPeer(InetSocketAddress address) throws IOException {
        mSocket.setReceiveBufferSize(4_096);
        mSocket.connect(address);
        mSocket.setSoTimeout(READ_TIMEOUT_MILLIS);
        mIn = new DataInputStream(mSocket.getInputStream());
        mOut = new DataOutputStream(mSocket.getOutputStream());
    }

    /** Completes the handshake with a key as a node of this name. */
    RawPeer authenticate(String node, String key) throws IOException {
        byte[] hello = hello(node);
        send(hello);
        ChallengeProto challenge = ChallengeProto.parseFrom(receiveFrame());
        byte[] transcript = PeerKey.transcript(hello, challenge.getHello().toByteArray());
        PeerKey peerKey = PeerKey.of(key);
        ByteString proof = ByteString.copyFrom(peerKey.connectorProof(transcript));
        send(ProofProto.newBuilder().setProof(proof).build().toByteArray());
        mAuthenticator = peerKey.connectorAuthenticator(transcript);
        return this;
    }

    static byte[] hello(String node) {
        PeerIdentity identity =
                new PeerIdentity(
                        NodeId.of(node),
                        Incarnation.random(new Random()),
                        ZoneId.of("a"),
                        new InetSocketAddress("127.0.0.1", 1),
                        Set.of(NodeRole.ENTRY));
        return HelloProto.newBuilder()
                .setProtocol(Handshake.PROTOCOL_VERSION)
                .setIdentity(Identities.encode(identity))
                .setNonce(ByteString.copyFrom(new byte[NONCE_BYTES]))
                .build()
                .toByteArray();
    }

    byte[] sign(EnvelopeProto envelope) {
        return signBytes(envelope.toByteArray());
    }

    byte[] signBytes(byte[] message) {
        return mAuthenticator.sign(message);
    }

    RawPeer send(byte[] frame) throws IOException {
        mOut.writeInt(frame.length);
        mOut.write(frame);
        mOut.flush();
        return this;
    }

    RawPeer sendLength(int length) throws IOException {
        mOut.writeInt(length);
        mOut.flush();
        return this;
    }

    /** Receives and verifies the next message. */
    EnvelopeProto receiveEnvelope() throws IOException {
        return EnvelopeProto.parseFrom(mAuthenticator.verify(receiveFrame()).orElseThrow());
    }

    byte[] receiveFrame() throws IOException {
        byte[] frame = new byte[mIn.readInt()];
        mIn.readFully(frame);
        return frame;
    }

    /** Reads until the end of the stream; true if the other side closed the connection. */
    boolean isDisconnected() {
        try {
            while (mIn.read() >= 0) {
                // Discards remaining data.
            }
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
