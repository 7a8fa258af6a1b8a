package org.foxtailplank.wire.internal.peer;

import static org.foxtailplank.wire.PeerNodes.KEY;
import static org.foxtailplank.wire.PeerNodes.await;
import static org.foxtailplank.wire.PeerNodes.awaitSees;
import static org.foxtailplank.wire.PeerNodes.join;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnknownFieldSet;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.membership.MemberState;
import org.foxtailplank.request.Outcome;
import org.foxtailplank.wire.AnswerLookup;
import org.foxtailplank.wire.AnswerLookupResult;
import org.foxtailplank.wire.CallerAnswer;
import org.foxtailplank.wire.DisconnectReason;
import org.foxtailplank.wire.PeerLink;
import org.foxtailplank.wire.PeerLinkException;
import org.foxtailplank.wire.PeerLinkLimits;
import org.foxtailplank.wire.PeerNodes;
import org.foxtailplank.wire.generated.peer.EnvelopeProto;
import org.foxtailplank.wire.generated.peer.RefusalProto;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that forged and malformed input is refused and that a misbehaving peer cannot exhaust a
 * node. Each test also checks that the node still serves an honest peer.
 */
public class HostilePeerTest {

    private static final AnswerLookup LOOKUP =
            new AnswerLookup(ServiceId.of("claims"), "k1", ByteString.EMPTY);

    private static final int NEWER_KIND = 999;

    private PeerNodes mNodes;
    private PeerLink mVictim;
    private PeerLink mHonest;
    private final AtomicInteger mHandled = new AtomicInteger();

    @BeforeMethod
    public void start() throws PeerLinkException {
        mNodes = new PeerNodes();
        mVictim = mNodes.start("victim");
        mHonest = mNodes.start("honest");
        mHandled.set(0);
        mVictim.handle(
                AnswerLookup.class,
                (from, lookup) -> {
                    mHandled.incrementAndGet();
                    return CompletableFuture.completedFuture(
                            AnswerLookupResult.without(AnswerLookupResult.State.RUNNING));
                });
        join(mHonest, mVictim);
    }

    @AfterMethod
    public void assertHonestPeerIsStillServed() {
        awaitSees(mVictim, mHonest, MemberState.ALIVE);
        awaitSees(mHonest, mVictim, MemberState.ALIVE);
        mNodes.close();
    }

    @Test
    public void aForgedFrameIsRefusedAndItsConnectionClosed() throws IOException {
        try (RawPeer peer = new RawPeer(mVictim.self().address()).authenticate("x", KEY)) {
            byte[] frame = peer.sign(lookup());
            frame[0] ^= 1;
            assertTrue(peer.send(frame).isDisconnected());
            assertDisconnectedOnce(DisconnectReason.INVALID_MAC);
            assertEquals(mHandled.get(), 0);
        }
    }

    @Test
    public void aReplayedFrameIsRefusedAndItsConnectionClosed() throws IOException {
        try (RawPeer peer = new RawPeer(mVictim.self().address()).authenticate("x", KEY)) {
            byte[] frame = peer.sign(lookup());
            peer.send(frame).send(frame);
            assertTrue(peer.isDisconnected());
            assertDisconnectedOnce(DisconnectReason.INVALID_MAC);
            assertEquals(mHandled.get(), 1);
        }
    }

    @Test
    public void aFrameOfOneConnectionIsRefusedOnAnother() throws IOException {
        try (RawPeer first = new RawPeer(mVictim.self().address()).authenticate("x", KEY);
                RawPeer second = new RawPeer(mVictim.self().address()).authenticate("x", KEY)) {
            assertTrue(second.send(first.sign(lookup())).isDisconnected());
            assertDisconnectedOnce(DisconnectReason.INVALID_MAC);
            assertEquals(mHandled.get(), 0);
        }
    }

    @Test
    public void omittedFramesAreDetected() throws IOException {
        try (RawPeer peer = new RawPeer(mVictim.self().address()).authenticate("x", KEY)) {
            peer.sign(lookup());
            assertTrue(peer.send(peer.sign(lookup())).isDisconnected());
            assertDisconnectedOnce(DisconnectReason.INVALID_MAC);
        }
    }

    @Test
    public void aPeerWithAWrongKeyIsDisconnected() throws IOException {
        try (RawPeer peer = new RawPeer(mVictim.self().address()).authenticate("x", KEY + "?")) {
            assertTrue(peer.isDisconnected());
            assertDisconnectedOnce(DisconnectReason.WRONG_KEY);
        }
    }

    @Test
    public void aMalformedHelloIsDisconnected() throws IOException {
        try (RawPeer peer = new RawPeer(mVictim.self().address())) {
            assertTrue(peer.send("GET / HTTP/1.1\r\n\r\n".getBytes()).isDisconnected());
            assertDisconnectedOnce(DisconnectReason.MALFORMED);
        }
    }

    @Test
    public void aMalformedMessageWithAValidMacIsDisconnected() throws IOException {
        try (RawPeer peer = new RawPeer(mVictim.self().address()).authenticate("x", KEY)) {
            byte[] malformed = {(byte) 0xFF, (byte) 0xFF, 1};
            assertTrue(peer.send(peer.signBytes(malformed)).isDisconnected());
            assertDisconnectedOnce(DisconnectReason.MALFORMED);
        }
    }

    @Test
    public void aHelloOfAnotherProtocolVersionIsDisconnected() throws IOException {
        try (RawPeer peer = new RawPeer(mVictim.self().address())) {
            assertTrue(peer.send(new byte[0]).isDisconnected());
            assertDisconnectedOnce(DisconnectReason.INCOMPATIBLE);
        }
    }

    @Test
    public void anOversizedFrameBeforeTheProofIsRefusedByItsLength() throws IOException {
        try (RawPeer peer = new RawPeer(mVictim.self().address())) {
            assertTrue(peer.sendLength(Handshake.MAX_FRAME_BYTES + 1).isDisconnected());
            assertDisconnectedOnce(DisconnectReason.OVERSIZED);
        }
    }

    @Test
    public void anOversizedFrameAfterTheProofIsRefusedByItsLength() throws IOException {
        try (RawPeer peer = new RawPeer(mVictim.self().address()).authenticate("x", KEY)) {
            assertTrue(
                    peer.sendLength(PeerLinkLimits.defaults().maxMessageBytes() + 1)
                            .isDisconnected());
            assertDisconnectedOnce(DisconnectReason.OVERSIZED);
        }
    }

    @Test
    public void aNegativeFrameLengthIsRefused() throws IOException {
        try (RawPeer peer = new RawPeer(mVictim.self().address()).authenticate("x", KEY)) {
            assertTrue(peer.sendLength(-1).isDisconnected());
            assertDisconnectedOnce(DisconnectReason.OVERSIZED);
        }
    }

    @Test
    public void anUnauthenticatedConnectionTimesOut() throws IOException {
        try (RawPeer peer = new RawPeer(mVictim.self().address())) {
            assertTrue(peer.isDisconnected());
            assertDisconnectedOnce(DisconnectReason.HANDSHAKE_TIMEOUT);
        }
    }

    @Test
    public void unauthenticatedConnectionsAreLimited() throws IOException {
        awaitSees(mVictim, mHonest, MemberState.ALIVE);
        int connections = PeerLinkLimits.defaults().maxUnauthenticated() * 2;
        List<RawPeer> peers = new ArrayList<>();
        for (int i = 0; i < connections; i++) {
            peers.add(new RawPeer(mVictim.self().address()));
        }
        await(
                "excess connections are closed",
                () ->
                        mVictim.counts().disconnects(DisconnectReason.TOO_MANY_CONNECTIONS)
                                >= connections / 2);
        for (RawPeer peer : peers) {
            peer.close();
        }
    }

    /** Guards against answers that accumulate in memory for a peer that does not read. */
    @Test
    public void aPeerThatDoesNotReadIsDisconnected() throws IOException {
        CallerAnswer large =
                new CallerAnswer(
                        Outcome.OK, 200, List.of(), ByteString.copyFrom(new byte[200 * 1024]));
        mVictim.handle(
                AnswerLookup.class,
                (from, lookup) -> {
                    mHandled.incrementAndGet();
                    return CompletableFuture.completedFuture(AnswerLookupResult.answered(large));
                });
        int requests = 1_000;
        try (RawPeer peer = new RawPeer(mVictim.self().address()).authenticate("x", KEY)) {
            for (int i = 0; i < requests; i++) {
                peer.send(peer.sign(lookup()));
            }
            await(
                    "the disconnect",
                    () -> mVictim.counts().disconnects(DisconnectReason.SLOW_READER) == 1);
            assertTrue(
                    mHandled.get() < requests / 2,
                    "requests handled for a peer that does not read: " + mHandled.get());
        }
    }

    /** Older nodes must keep their connections to newer ones during a rolling upgrade. */
    @Test
    public void anUnknownMessageKindIsRefusedAndItsConnectionKept() throws IOException {
        UnknownFieldSet.Field text =
                UnknownFieldSet.Field.newBuilder()
                        .addLengthDelimited(ByteString.copyFromUtf8("new"))
                        .build();
        EnvelopeProto newer =
                EnvelopeProto.newBuilder()
                        .setAsk(7)
                        .setUnknownFields(
                                UnknownFieldSet.newBuilder().addField(NEWER_KIND, text).build())
                        .build();
        try (RawPeer peer = new RawPeer(mVictim.self().address()).authenticate("x", KEY)) {
            EnvelopeProto refusal = peer.send(peer.sign(newer)).receiveEnvelope();
            assertEquals(refusal.getAnswerTo(), 7);
            assertEquals(refusal.getRefusal().getReason(), RefusalProto.Reason.NOT_UNDERSTOOD);
            assertEquals(mVictim.counts().notUnderstood(), 1);
            assertTrue(peer.send(peer.sign(lookup())).receiveEnvelope().hasAnswerLookupResult());
        }
    }

    private void assertDisconnectedOnce(DisconnectReason reason) {
        assertEquals(mVictim.counts().disconnects(reason), 1);
    }

    private static EnvelopeProto lookup() {
        return Messages.encode(LOOKUP).setAsk(1).build();
    }
}
