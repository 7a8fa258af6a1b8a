package org.foxtailplank.internal.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.id.NodeId;
import org.testng.annotations.Test;

/** Tests the shared append budget with a fake clock. */
public final class AppendRateLimiterTest {

    private static final long MILLI = 1_000_000;
    private static final long SECOND = 1_000 * MILLI;
    private static final long HEARTBEAT = 500 * MILLI;
    private static final int NODES = 9;
    private static final double BUDGET = 180;

    @Test
    public void shareIsTheBudgetDividedByTheNodes() {
        AppendRateLimiter limiter = limiter();
        assertEquals(limiter.permittedRate(0), BUDGET / NODES);
    }

    @Test
    public void nextPermitIsAvailableAtTheAnnouncedTime() {
        AppendRateLimiter limiter = limiter();
        long now = 0;
        while (limiter.tryAcquire(now)) {
            continue;
        }
        long next = limiter.nextPermitAt(now);
        assertTrue(next > now);
        assertFalse(limiter.tryAcquire(next - MILLI));
        assertTrue(limiter.tryAcquire(next + 1));
    }

    @Test
    public void peerWithoutARecentReportLendsNothing() {
        AppendRateLimiter limiter = limiter();
        limiter.updatePeerRate(NodeId.of("n1"), 0, 0);
        assertTrue(limiter.permittedRate(HEARTBEAT) > BUDGET / NODES);
        assertEquals(limiter.permittedRate(10 * SECOND), BUDGET / NODES);
    }

    @Test
    public void busyNodesShareTheBudgetEqually() {
        long[] started = run(NODES, 2);
        long[] acquired = run(NODES, 22);
        long all = 0;
        for (int i = 0; i < NODES; i++) {
            long steady = acquired[i] - started[i];
            assertEquals(steady, BUDGET / NODES * 20, BUDGET / NODES * 20 / 100);
            all += steady;
        }
        assertTrue(all <= BUDGET * 20 * 1.01, "appends: " + all);
    }

    /** Guards against exceeding the budget by more than the shares lent for one heartbeat. */
    @Test
    public void nodesThatBecomeBusyTogetherExceedTheBudgetForOneHeartbeat() {
        long all = 0;
        for (long t : run(NODES, 2)) {
            all += t;
        }
        double burst = BUDGET;
        double lent = BUDGET * HEARTBEAT / SECOND;
        assertTrue(all <= BUDGET * 2 + burst + lent, "appends: " + all);
    }

    @Test
    public void singleBusyNodeBorrowsUnusedShares() {
        long started = run(1, 2)[0];
        long acquired = run(1, 22)[0];
        assertEquals(acquired - started, 1.875 * BUDGET / NODES * 20, 10.0);
    }

    /** Simulates nodes that exchange heartbeats; the first {@code busy} append at full rate. */
    private static long[] run(int busy, int seconds) {
        List<AppendRateLimiter> limiters = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            limiters.add(limiter());
        }
        long[] acquired = new long[NODES];
        for (long now = 0; now < seconds * SECOND; now += MILLI) {
            for (int i = 0; i < busy; i++) {
                acquired[i] += limiters.get(i).tryAcquire(now) ? 1 : 0;
            }
            if (now % HEARTBEAT == 0) {
                exchange(limiters, now);
            }
        }
        return acquired;
    }

    private static void exchange(List<AppendRateLimiter> limiters, long now) {
        for (int from = 0; from < limiters.size(); from++) {
            double use = limiters.get(from).measuredRate(now);
            for (int to = 0; to < limiters.size(); to++) {
                if (to != from) {
                    limiters.get(to).updatePeerRate(NodeId.of("n" + from), use, now);
                }
            }
        }
    }

    private static AppendRateLimiter limiter() {
        return new AppendRateLimiter(BUDGET, NODES, 1, 2 * HEARTBEAT, 0);
    }
}
