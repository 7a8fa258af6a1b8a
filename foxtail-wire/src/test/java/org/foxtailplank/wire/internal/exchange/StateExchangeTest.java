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

/**
 * A configuration that was accepted would not be in force in a zone that the platform cannot reach.
 * Operators publish, the nodes of the other zones fold it, and those of the cut off zone hear of it
 * only from their peers.
 */
public class StateExchangeTest {

    /** Small chunks, so that a state takes many. */
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
        MemorySharedState reached = new MemorySharedState(WHOLE_TAIL);
        MemorySharedState cutOff = new MemorySharedState(WHOLE_TAIL);
        reached.fold("abc");
        cutOff.fold("abc");
        start(reached, cutOff);
        reached.fold("d");
        await("the record at the node that is cut off", () -> cutOff.folded().equals("abcd"));
        assertEquals(cutOff.adopted(), 0, "no whole state was needed");
    }

    @Test
    public void aNodeThatStartsWithoutThePlatformStartsFromItsPeers() throws Exception {
        MemorySharedState running = new MemorySharedState(2);
        MemorySharedState starting = new MemorySharedState(2);
        running.fold(LONG_STATE);
        start(running, starting);
        await("the whole state", () -> starting.folded().equals(LONG_STATE));
        assertEquals(starting.adopted(), 1);
    }

    @Test
    public void aNodeFarBehindGetsTheWholeStateAndThenTheTail() throws Exception {
        MemorySharedState running = new MemorySharedState(2);
        MemorySharedState behind = new MemorySharedState(2);
        running.fold(LONG_STATE);
        behind.fold("abc");
        start(running, behind);
        await("the whole state", () -> behind.folded().equals(LONG_STATE));
        running.fold("x");
        await("the tail", () -> behind.folded().equals(LONG_STATE + "x"));
        assertEquals(behind.adopted(), 1);
    }

    /**
     * A zone would fall back to an old configuration. It was cut off from the platform for long and
     * meets nodes that have newer ones, or it has the newest one itself and meets old nodes.
     */
    @Test
    public void aNewerStateIsNeverReplacedByAnOlderOne() throws Exception {
        MemorySharedState newest = new MemorySharedState(WHOLE_TAIL);
        MemorySharedState old = new MemorySharedState(0);
        newest.fold(LONG_STATE);
        old.fold("ab");
        start(newest, old);
        await("the old node catches up", () -> old.folded().equals(LONG_STATE));
        assertEquals(newest.folded(), LONG_STATE);
        assertEquals(newest.adopted(), 0);
    }

    /**
     * A node would never catch up. One record is larger than a message may be, and the asker cuts
     * the connection of each peer that sends it.
     */
    @Test
    public void aTailTooLargeForOneMessageIsHandedOutAsAState() throws Exception {
        MemorySharedState running = new MemorySharedState(WHOLE_TAIL);
        MemorySharedState starting = new MemorySharedState(WHOLE_TAIL);
        running.fold("x".repeat(LIMITS.tailBytes() + 1));
        start(running, starting);
        await("the state", () -> starting.folded().equals(running.folded()));
        assertEquals(starting.adopted(), 1);
    }

    @Test
    public void newsGoesOnThroughNodesThatWereBehindThemselves() throws Exception {
        MemorySharedState first = new MemorySharedState(WHOLE_TAIL);
        MemorySharedState second = new MemorySharedState(WHOLE_TAIL);
        MemorySharedState third = new MemorySharedState(WHOLE_TAIL);
        PeerLink a = mNodes.start("a");
        PeerLink b = mNodes.start("b");
        PeerLink c = mNodes.start("c");
        exchange(a, first);
        exchange(b, second);
        exchange(c, third);
        PeerNodes.joinAll(a, b);
        PeerNodes.joinAll(b, c);
        first.fold("abc");
        await("the state at the third node", () -> third.folded().equals("abc"));
    }

    @Test
    public void aPeerWhoseStateCannotBeTakenIsLeftForAnother() throws Exception {
        MemorySharedState tooLarge = new MemorySharedState(0);
        MemorySharedState running = new MemorySharedState(0);
        MemorySharedState starting = new MemorySharedState(0);
        tooLarge.fold("x".repeat(LIMITS.maxStateBytes() + 1));
        running.fold(LONG_STATE);
        PeerLink a = mNodes.start("a", "near");
        PeerLink b = mNodes.start("b", "far");
        PeerLink c = mNodes.start("c", "near");
        exchange(a, tooLarge);
        exchange(b, running);
        StateExchange exchange = exchange(c, starting);
        joinAll(a, c);
        joinAll(b, c);
        await("the state of the other peer", () -> starting.folded().equals(LONG_STATE));
        assertEquals(exchange.counts().statesTaken(), 1);
    }

    private void start(MemorySharedState first, MemorySharedState second) throws PeerLinkException {
        PeerLink a = mNodes.start("a");
        PeerLink b = mNodes.start("b");
        exchange(a, first);
        exchange(b, second);
        joinAll(a, b);
        awaitSees(a, b, MemberState.ALIVE);
        awaitSees(b, a, MemberState.ALIVE);
    }

    private static StateExchange exchange(PeerLink link, MemorySharedState state) {
        return StateExchange.start(link, state, LIMITS);
    }
}
