package org.foxtailplank.internal.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.id.NodeId;
import org.testng.annotations.Test;

/** Shares of the append budget, with a clock of the test's own. */
public final class AppendShareTest {

    private static final long MILLI = 1_000_000;
    private static final long SECOND = 1_000 * MILLI;
    private static final long HEARTBEAT = 500 * MILLI;
    private static final int NODES = 9;
    private static final double BUDGET = 180;

    @Test
    public void shareIsTheBudgetDividedByTheNodes() {
        AppendShare share = share();
        assertEquals(share.rate(0), BUDGET / NODES);
    }

    @Test
    public void nextAppendIsThereWhenItWasSaidToBe() {
        AppendShare share = share();
        long now = 0;
        while (share.take(now)) {
            continue;
        }
        long next = share.nextAt(now);
        assertTrue(next > now);
        assertFalse(share.take(next - MILLI));
        assertTrue(share.take(next + 1));
    }

    @Test
    public void peerThatFellSilentLendsNothing() {
        AppendShare share = share();
        share.peerUses(NodeId.of("n1"), 0, 0);
        assertTrue(share.rate(HEARTBEAT) > BUDGET / NODES);
        assertEquals(share.rate(10 * SECOND), BUDGET / NODES);
    }

    @Test
    public void busyNodesGetEqualPartsWithinTheBudget() {
        long[] started = run(NODES, 2);
        long[] taken = run(NODES, 22);
        long all = 0;
        for (int i = 0; i < NODES; i++) {
            long steady = taken[i] - started[i];
            assertEquals(steady, BUDGET / NODES * 20, BUDGET / NODES * 20 / 100);
            all += steady;
        }
        assertTrue(all <= BUDGET * 20 * 1.01, "appends: " + all);
    }

    /**
     * All nodes grow busy at once. Until the next heartbeat each believes that the others lend, so
     * together they go above the budget by no more than what is lent in that time.
     */
    @Test
    public void nodesThatGrowBusyTogetherExceedTheBudgetForOneHeartbeat() {
        long all = 0;
        for (long t : run(NODES, 2)) {
            all += t;
        }
        double burst = BUDGET;
        double lent = BUDGET * HEARTBEAT / SECOND;
        assertTrue(all <= BUDGET * 2 + burst + lent, "appends: " + all);
    }

    @Test
    public void singleBusyNodeBorrowsWhatOthersLeave() {
        long started = run(1, 2)[0];
        long taken = run(1, 22)[0];
        assertEquals(taken - started, 1.875 * BUDGET / NODES * 20, 10.0);
    }

    /** Runs nodes that exchange heartbeats; the first ones append whenever they may. */
    private static long[] run(int busy, int seconds) {
        List<AppendShare> shares = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            shares.add(share());
        }
        long[] taken = new long[NODES];
        for (long now = 0; now < seconds * SECOND; now += MILLI) {
            for (int i = 0; i < busy; i++) {
                taken[i] += shares.get(i).take(now) ? 1 : 0;
            }
            if (now % HEARTBEAT == 0) {
                exchange(shares, now);
            }
        }
        return taken;
    }

    private static void exchange(List<AppendShare> shares, long now) {
        for (int from = 0; from < shares.size(); from++) {
            double use = shares.get(from).use(now);
            for (int to = 0; to < shares.size(); to++) {
                if (to != from) {
                    shares.get(to).peerUses(NodeId.of("n" + from), use, now);
                }
            }
        }
    }

    private static AppendShare share() {
        return new AppendShare(BUDGET, NODES, 1, 2 * HEARTBEAT, 0);
    }
}
