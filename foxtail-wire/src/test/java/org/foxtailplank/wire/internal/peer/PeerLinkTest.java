package org.foxtailplank.wire.internal.peer;

import static org.foxtailplank.wire.PeerNodes.await;
import static org.foxtailplank.wire.PeerNodes.awaitSees;
import static org.foxtailplank.wire.PeerNodes.join;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.expectThrows;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.membership.LoadSummary;
import org.foxtailplank.membership.MemberState;
import org.foxtailplank.membership.NodeStatus;
import org.foxtailplank.request.Outcome;
import org.foxtailplank.state.StatePosition;
import org.foxtailplank.wire.AnswerLookup;
import org.foxtailplank.wire.AnswerLookupResult;
import org.foxtailplank.wire.CallerAnswer;
import org.foxtailplank.wire.DisconnectReason;
import org.foxtailplank.wire.HeaderField;
import org.foxtailplank.wire.PeerException;
import org.foxtailplank.wire.PeerFailure;
import org.foxtailplank.wire.PeerLink;
import org.foxtailplank.wire.PeerLinkException;
import org.foxtailplank.wire.PeerMessage;
import org.foxtailplank.wire.PeerNodes;
import org.testng.Assert.ThrowingRunnable;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PeerLinkTest {

    private static final Duration LONG = Duration.ofSeconds(20);
    private static final AnswerLookup LOOKUP =
            new AnswerLookup(ServiceId.of("claims"), "k1", ByteString.copyFromUtf8("digest"));

    private PeerNodes mNodes;

    @BeforeMethod
    public void open() {
        mNodes = new PeerNodes();
    }

    @AfterMethod
    public void close() {
        mNodes.close();
    }

    @Test
    public void nodesThatKnowOneSeedMeetEachOther() throws PeerLinkException {
        PeerLink a = mNodes.start("a");
        PeerLink b = mNodes.start("b");
        PeerLink c = mNodes.start("c");
        join(b, a);
        join(c, a);
        awaitSees(a, b, MemberState.ALIVE);
        awaitSees(b, c, MemberState.ALIVE);
        awaitSees(c, b, MemberState.ALIVE);
    }

    @Test
    public void heartbeatsCarryVersionOffsetAndLoad() throws PeerLinkException {
        PeerLink a = mNodes.start("a");
        PeerLink b = mNodes.start("b");
        join(a, b);
        b.report(new StatePosition(1, 43, 7));
        b.reportConfiguration(41);
        b.report(LoadSummary.of(Map.of("vm-7", 5, "vm-8", 0)));
        join(b, a);
        await(
                "the status of b",
                () ->
                        a.member(NodeId.of("b"))
                                .filter(m -> m.status().configurationVersion() == 41)
                                .isPresent());
        NodeStatus status = a.member(NodeId.of("b")).orElseThrow().status();
        assertEquals(status.position(), new StatePosition(1, 43, 7));
        assertEquals(status.load().inFlightAt("vm-7"), 5);
        assertEquals(status.load().inFlightAt("vm-8"), 0);
    }

    @Test
    public void aRequestReturnsTheAnswerOfItsPeer() throws Exception {
        PeerLink a = mNodes.start("a");
        PeerLink b = mNodes.start("b");
        join(a, b);
        CallerAnswer answer =
                new CallerAnswer(
                        Outcome.OK,
                        200,
                        List.of(new HeaderField("Content-Type", "text/plain")),
                        ByteString.copyFromUtf8("settled"));
        b.handle(
                AnswerLookup.class,
                (from, lookup) ->
                        CompletableFuture.completedFuture(
                                lookup.equals(LOOKUP)
                                        ? AnswerLookupResult.answered(answer)
                                        : AnswerLookupResult.without(
                                                AnswerLookupResult.State.NOT_KNOWN)));
        awaitSees(a, b, MemberState.ALIVE);
        assertEquals(ask(a, b, LONG), AnswerLookupResult.answered(answer));
    }

    @Test
    public void aRequestWithoutAHandlerIsRefusedAndCounted() throws Exception {
        PeerLink a = mNodes.start("a");
        PeerLink b = mNodes.start("b");
        join(a, b);
        awaitSees(a, b, MemberState.ALIVE);
        assertEquals(failure(() -> ask(a, b, LONG)), PeerFailure.REFUSED);
        assertEquals(b.counts().notUnderstood(), 1);
    }

    @Test
    public void aRequestThatTimesOutMayHaveBeenExecuted() throws Exception {
        PeerLink a = mNodes.start("a");
        PeerLink b = mNodes.start("b");
        join(a, b);
        b.handle(AnswerLookup.class, (from, lookup) -> new CompletableFuture<>());
        awaitSees(a, b, MemberState.ALIVE);
        PeerFailure failure = failure(() -> ask(a, b, Duration.ofMillis(50)));
        assertEquals(failure, PeerFailure.NO_ANSWER);
        assertFalse(failure.isDefinitelyNotExecuted());
    }

    @Test
    public void aRequestToAnUnknownNodeIsNotSent() throws Exception {
        PeerLink a = mNodes.start("a");
        PeerLink b = mNodes.start("b");
        assertEquals(failure(() -> ask(a, b, LONG)), PeerFailure.NOT_SENT);
    }

    @Test
    public void aNodeThatClosesIsSeenToLeave() throws Exception {
        PeerLink a = mNodes.start("a");
        PeerLink b = mNodes.start("b");
        join(b, a);
        awaitSees(a, b, MemberState.ALIVE);
        awaitSees(b, a, MemberState.ALIVE);
        await("b reaches a", () -> a.counts().messagesIn() > 0);
        b.close();
        awaitSees(a, b, MemberState.LEFT);
    }

    /** Guards against requests to a killed VM whose replacement has the same name and address. */
    @Test
    public void aReplacedVmWithTheSameAddressIsANewMember() throws Exception {
        PeerLink a = mNodes.start("a");
        PeerLink old = mNodes.start("b");
        join(a, old);
        awaitSees(a, old, MemberState.ALIVE);
        old.close();
        PeerLink successor = mNodes.start("b", "a", PeerNodes.KEY, old.self().address());
        awaitSees(a, successor, MemberState.ALIVE);
        assertEquals(
                a.member(NodeId.of("b")).orElseThrow().incarnation(),
                successor.self().incarnation());
    }

    @Test
    public void aNodeWithAnotherKeyIsDisconnectedAndNeverAMember() throws Exception {
        PeerLink a = mNodes.start("a");
        PeerLink b = mNodes.start("b", "a", "another key of the same length", anyPort());
        join(a, b);
        await("a disconnects b", () -> a.counts().disconnects(DisconnectReason.WRONG_KEY) > 0);
        assertEquals(a.members(), List.of());
        assertEquals(b.members(), List.of());
    }

    @Test
    public void bindingAnAddressInUseFails() throws PeerLinkException {
        PeerLink a = mNodes.start("a");
        assertThrows(
                PeerLinkException.class,
                () -> mNodes.start("b", "a", PeerNodes.KEY, a.self().address()));
    }

    private static InetSocketAddress anyPort() {
        return new InetSocketAddress("127.0.0.1", 0);
    }

    private static PeerMessage ask(PeerLink from, PeerLink to, Duration timeout) throws Exception {
        return from.ask(to.self().node(), LOOKUP, timeout).toCompletableFuture().get();
    }

    private static PeerFailure failure(ThrowingRunnable request) {
        ExecutionException e = expectThrows(ExecutionException.class, request);
        return ((PeerException) e.getCause()).failure();
    }
}
