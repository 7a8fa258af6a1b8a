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
import org.foxtailplank.wire.CutReason;
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
 * An entry would act on a message that no peer wrote, or would be brought down by one that
 * misbehaves. Somebody reaches the peers' address and sends what no peer would send, or a peer
 * stops to read. Each test also sees that the node still serves its honest peer.
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
    public void servesItsHonestPeerStill() {
        awaitSees(mVictim, mHonest, MemberState.ALIVE);
        awaitSees(mHonest, mVictim, MemberState.ALIVE);
        mNodes.close();
    }

    @Test
    public void aForgedFrameIsRefusedAndItsConnectionCut() throws IOException {
        try (RawPeer peer = new RawPeer(mVictim.self().address()).prove("x", KEY)) {
            byte[] frame = peer.seal(lookup());
            frame[0] ^= 1;
            assertTrue(peer.send(frame).isCut());
            assertCutOnce(CutReason.FORGED);
            assertEquals(mHandled.get(), 0);
        }
    }

    @Test
    public void aReplayedFrameIsRefusedAndItsConnectionCut() throws IOException {
        try (RawPeer peer = new RawPeer(mVictim.self().address()).prove("x", KEY)) {
            byte[] frame = peer.seal(lookup());
            peer.send(frame).send(frame);
            assertTrue(peer.isCut());
            assertCutOnce(CutReason.FORGED);
            assertEquals(mHandled.get(), 1);
        }
    }

    @Test
    public void aFrameOfOneConnectionIsWorthlessOnAnother() throws IOException {
        try (RawPeer first = new RawPeer(mVictim.self().address()).prove("x", KEY);
                RawPeer second = new RawPeer(mVictim.self().address()).prove("x", KEY)) {
            assertTrue(second.send(first.seal(lookup())).isCut());
            assertCutOnce(CutReason.FORGED);
            assertEquals(mHandled.get(), 0);
        }
    }

    @Test
    public void framesThatAreLeftOutAreNoticed() throws IOException {
        try (RawPeer peer = new RawPeer(mVictim.self().address()).prove("x", KEY)) {
            peer.seal(lookup());
            assertTrue(peer.send(peer.seal(lookup())).isCut());
            assertCutOnce(CutReason.FORGED);
        }
    }

    @Test
    public void aWrongKeyIsCut() throws IOException {
        try (RawPeer peer = new RawPeer(mVictim.self().address()).prove("x", KEY + "?")) {
            assertTrue(peer.isCut());
            assertCutOnce(CutReason.BAD_KEY);
        }
    }

    @Test
    public void garbageInPlaceOfAHelloIsCut() throws IOException {
        try (RawPeer peer = new RawPeer(mVictim.self().address())) {
            assertTrue(peer.send("GET / HTTP/1.1\r\n\r\n".getBytes()).isCut());
            assertCutOnce(CutReason.GARBAGE);
        }
    }

    @Test
    public void garbageUnderARightMacIsCut() throws IOException {
        try (RawPeer peer = new RawPeer(mVictim.self().address()).prove("x", KEY)) {
            byte[] garbage = {(byte) 0xFF, (byte) 0xFF, 1};
            assertTrue(peer.send(peer.sealBytes(garbage)).isCut());
            assertCutOnce(CutReason.GARBAGE);
        }
    }

    @Test
    public void aHelloOfAnotherProtocolIsCut() throws IOException {
        try (RawPeer peer = new RawPeer(mVictim.self().address())) {
            assertTrue(peer.send(new byte[0]).isCut());
            assertCutOnce(CutReason.NOT_A_PEER);
        }
    }

    @Test
    public void aLargeFrameBeforeTheProofIsCutByItsLengthAlone() throws IOException {
        try (RawPeer peer = new RawPeer(mVictim.self().address())) {
            assertTrue(peer.sendLength(Handshake.MAX_FRAME_BYTES + 1).isCut());
            assertCutOnce(CutReason.OVERSIZED);
        }
    }

    @Test
    public void anOversizedFrameAfterTheProofIsCutByItsLengthAlone() throws IOException {
        try (RawPeer peer = new RawPeer(mVictim.self().address()).prove("x", KEY)) {
            assertTrue(peer.sendLength(PeerLinkLimits.usual().maxMessageBytes() + 1).isCut());
            assertCutOnce(CutReason.OVERSIZED);
        }
    }

    @Test
    public void aNegativeLengthIsCut() throws IOException {
        try (RawPeer peer = new RawPeer(mVictim.self().address()).prove("x", KEY)) {
            assertTrue(peer.sendLength(-1).isCut());
            assertCutOnce(CutReason.OVERSIZED);
        }
    }

    @Test
    public void aConnectionThatProvesNothingIsCutInTime() throws IOException {
        try (RawPeer peer = new RawPeer(mVictim.self().address())) {
            assertTrue(peer.isCut());
            assertCutOnce(CutReason.HANDSHAKE_TIMEOUT);
        }
    }

    @Test
    public void aFloodOfConnectionsThatProveNothingIsBounded() throws IOException {
        awaitSees(mVictim, mHonest, MemberState.ALIVE);
        int flood = PeerLinkLimits.usual().maxUnproved() * 2;
        List<RawPeer> peers = new ArrayList<>();
        for (int i = 0; i < flood; i++) {
            peers.add(new RawPeer(mVictim.self().address()));
        }
        await("some are cut at once", () -> mVictim.counts().cuts(CutReason.TOO_MANY) >= flood / 2);
        for (RawPeer peer : peers) {
            peer.close();
        }
    }

    /**
     * A node's memory would fill with answers. A peer asks and asks, and never reads. Cause:
     * answers wait in this node for as long as the peer takes nothing in.
     */
    @Test
    public void aPeerThatDoesNotReadIsCut() throws IOException {
        CallerAnswer large =
                new CallerAnswer(
                        Outcome.OK, 200, List.of(), ByteString.copyFrom(new byte[200 * 1024]));
        mVictim.handle(
                AnswerLookup.class,
                (from, lookup) -> {
                    mHandled.incrementAndGet();
                    return CompletableFuture.completedFuture(AnswerLookupResult.answered(large));
                });
        int asks = 1_000;
        try (RawPeer peer = new RawPeer(mVictim.self().address()).prove("x", KEY)) {
            for (int i = 0; i < asks; i++) {
                peer.send(peer.seal(lookup()));
            }
            await("the cut", () -> mVictim.counts().cuts(CutReason.SLOW_READER) == 1);
            assertTrue(mHandled.get() < asks / 2, "answers made for nobody: " + mHandled.get());
        }
    }

    /**
     * An upgrade of node after node would cut the old nodes off. A newer node sends a kind of
     * message that an older one does not know; it is refused, and the connection goes on.
     */
    @Test
    public void aMessageOfANewerKindIsRefusedAndItsConnectionKept() throws IOException {
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
        try (RawPeer peer = new RawPeer(mVictim.self().address()).prove("x", KEY)) {
            EnvelopeProto refusal = peer.send(peer.seal(newer)).answer();
            assertEquals(refusal.getAnswerTo(), 7);
            assertEquals(refusal.getRefusal().getReason(), RefusalProto.Reason.NOT_UNDERSTOOD);
            assertEquals(mVictim.counts().notUnderstood(), 1);
            assertTrue(peer.send(peer.seal(lookup())).answer().hasAnswerLookupResult());
        }
    }

    private void assertCutOnce(CutReason reason) {
        assertEquals(mVictim.counts().cuts(reason), 1);
    }

    private static EnvelopeProto lookup() {
        return Messages.encode(LOOKUP).setAsk(1).build();
    }
}
