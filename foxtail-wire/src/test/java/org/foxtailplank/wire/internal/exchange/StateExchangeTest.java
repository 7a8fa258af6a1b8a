package org.foxtailplank.wire.internal.exchange;

import static org.foxtailplank.wire.PeerNodes.await;
import static org.foxtailplank.wire.PeerNodes.awaitSees;
import static org.foxtailplank.wire.PeerNodes.joinAll;
import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.foxtailplank.membership.MemberState;
import org.foxtailplank.wire.PeerLink;
import org.foxtailplank.wire.PeerLinkException;
import org.foxtailplank.wire.PeerNodes;
import org.foxtailplank.wire.StateExchange;
import org.foxtailplank.wire.StateExchangeLimits;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that nodes without a connection to the platform receive new state from their peers. */
public class StateExchangeTest {

    /** Small chunks, so that a snapshot is sent in many. */
    private static final StateExchangeLimits LIMITS =
            new StateExchangeLimits(
                    Duration.ofMillis(100),
                    Duration.ofSeconds(5),
                    900,
                    7,
                    1_000,
                    Duration.ofSeconds(5));

    private static final int WHOLE_TAIL = 1_000;
    private static final String LONG_STATE = "abcdefghij".repeat(10);

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
    public void aNodeWithoutThePlatformGetsTheTailFromItsPeers() throws Exception {
        InMemorySharedState connected = new InMemorySharedState(WHOLE_TAIL);
        InMemorySharedState isolated = new InMemorySharedState(WHOLE_TAIL);
        connected.append("abc");
        isolated.append("abc");
        start(connected, isolated);
        connected.append("d");
        await(
                "the record at the node without the platform",
                () -> isolated.content().equals("abcd"));
        assertEquals(isolated.snapshotsApplied(), 0, "no snapshot was needed");
    }

    @Test
    public void aNodeThatStartsWithoutThePlatformGetsASnapshotFromItsPeers() throws Exception {
        InMemorySharedState running = new InMemorySharedState(2);
        InMemorySharedState starting = new InMemorySharedState(2);
        running.append(LONG_STATE);
        start(running, starting);
        await("the snapshot", () -> starting.content().equals(LONG_STATE));
        assertEquals(starting.snapshotsApplied(), 1);
    }

    @Test
    public void aNodeFarBehindGetsASnapshotAndThenTheTail() throws Exception {
        InMemorySharedState running = new InMemorySharedState(2);
        InMemorySharedState behind = new InMemorySharedState(2);
        running.append(LONG_STATE);
        behind.append("abc");
        start(running, behind);
        await("the snapshot", () -> behind.content().equals(LONG_STATE));
        running.append("x");
        await("the tail", () -> behind.content().equals(LONG_STATE + "x"));
        assertEquals(behind.snapshotsApplied(), 1);
    }

    /** Guards against reverting to an older configuration after a partition. */
    @Test
    public void aNewerStateIsNeverReplacedByAnOlderOne() throws Exception {
        InMemorySharedState newest = new InMemorySharedState(WHOLE_TAIL);
        InMemorySharedState old = new InMemorySharedState(0);
        newest.append(LONG_STATE);
        old.append("ab");
        start(newest, old);
        await("the old node catches up", () -> old.content().equals(LONG_STATE));
        assertEquals(newest.content(), LONG_STATE);
        assertEquals(newest.snapshotsApplied(), 0);
    }

    /** An oversized tail would close the connection at each attempt. */
    @Test
    public void aTailTooLargeForOneMessageIsSentAsASnapshot() throws Exception {
        InMemorySharedState running = new InMemorySharedState(WHOLE_TAIL);
        InMemorySharedState starting = new InMemorySharedState(WHOLE_TAIL);
        running.append("x".repeat(LIMITS.tailBytes() + 1));
        start(running, starting);
        await("the state", () -> starting.content().equals(running.content()));
        assertEquals(starting.snapshotsApplied(), 1);
    }

    @Test
    public void stateIsForwardedByNodesThatWereBehindThemselves() throws Exception {
        InMemorySharedState first = new InMemorySharedState(WHOLE_TAIL);
        InMemorySharedState second = new InMemorySharedState(WHOLE_TAIL);
        InMemorySharedState third = new InMemorySharedState(WHOLE_TAIL);
        PeerLink a = mNodes.start("a");
        PeerLink b = mNodes.start("b");
        PeerLink c = mNodes.start("c");
        exchange(a, first);
        exchange(b, second);
        exchange(c, third);
        PeerNodes.joinAll(a, b);
        PeerNodes.joinAll(b, c);
        first.append("abc");
        await("the state at the third node", () -> third.content().equals("abc"));
    }

    @Test
    public void aPeerWhoseStateIsTooLargeIsReplacedByAnother() throws Exception {
        InMemorySharedState tooLarge = new InMemorySharedState(0);
        InMemorySharedState running = new InMemorySharedState(0);
        InMemorySharedState starting = new InMemorySharedState(0);
        tooLarge.append("x".repeat(LIMITS.maxStateBytes() + 1));
        running.append(LONG_STATE);
        PeerLink a = mNodes.start("a", "near");
        PeerLink b = mNodes.start("b", "far");
        PeerLink c = mNodes.start("c", "near");
        exchange(a, tooLarge);
        exchange(b, running);
        StateExchange exchange = exchange(c, starting);
        joinAll(a, c);
        joinAll(b, c);
        await("the state of the other peer", () -> starting.content().equals(LONG_STATE));
        assertEquals(exchange.counts().snapshotsReceived(), 1);
    }

    private void start(InMemorySharedState first, InMemorySharedState second)
            throws PeerLinkException {
        PeerLink a = mNodes.start("a");
        PeerLink b = mNodes.start("b");
        exchange(a, first);
        exchange(b, second);
        joinAll(a, b);
        awaitSees(a, b, MemberState.ALIVE);
        awaitSees(b, a, MemberState.ALIVE);
    }

    private static StateExchange exchange(PeerLink link, InMemorySharedState state) {
        return StateExchange.start(link, state, LIMITS);
    }
}
