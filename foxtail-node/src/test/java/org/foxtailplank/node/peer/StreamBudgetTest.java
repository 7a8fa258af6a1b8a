package org.foxtailplank.node.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.foxtailplank.node.LinkRate;
import org.testng.annotations.Test;

/**
 * A queue's turn under an owner with a narrow link.
 *
 * <p>Callers' jobs are accepted and not done. The owner hands each record of the journal to all
 * other nodes; its link is full of that, orders to workers wait behind it and are given up, and the
 * leases of all that runs lapse.
 */
public class StreamBudgetTest {
    private static final LinkRate NARROW = new LinkRate(1.4);
    private static final LinkRate WIDE = new LinkRate(140);
    private static final int BATCH_DELAY_MS = 20;
    private static final int SECOND_MS = 1000;

    /** Bytes of the journal a second: some ten jobs of eight tasks a step; a small fleet's turn. */
    private static final int LOAD = 9000;

    /** The same of some fifty jobs, as of several hundred workers. */
    private static final int HEAVY_LOAD = 25_000;

    /** The same while only standing tasks run: signs of life. */
    private static final int LOW_LOAD = 100;

    /** Bytes that the journal takes of the link in each second, handed to so many nodes. */
    private static long[] simulate(LinkRate link, int nodes, int bytesPerS, int seconds) {
        StreamBudget budget = new StreamBudget(link, 0);
        long[] sent = new long[seconds];
        for (int now = 0; now < seconds * SECOND_MS; now += BATCH_DELAY_MS) {
            long bytes = (long) nodes * bytesPerS * BATCH_DELAY_MS / SECOND_MS;
            if (budget.tryConsume(bytes, now)) {
                sent[now / SECOND_MS] += bytes;
            }
        }
        return sent;
    }

    private static long sum(long[] sent) {
        long sum = 0;
        for (long s : sent) {
            sum += s;
        }
        return sum;
    }

    private static long bytesPerS(LinkRate link) {
        return (long) (link.megabitsPerS() * 1e6 / 8);
    }

    @Test
    public void recordsLeaveMostOfANarrowLinkFreeUnderLoad() {
        long[] sent = simulate(NARROW, 16, LOAD, 30);

        assertTrue(sum(sent) <= 30 * bytesPerS(NARROW) / 4 + bytesPerS(NARROW) / 8);
        for (long s : sent) {
            assertTrue(s <= bytesPerS(NARROW) / 2, "half of a second's link is for orders: " + s);
        }
    }

    @Test
    public void allRecordsAreSentUnderLowLoad() {
        assertEquals(sum(simulate(NARROW, 16, LOW_LOAD, 30)), 30L * 16 * LOW_LOAD);
    }

    @Test
    public void aWideLinkCarriesAllRecordsUnderLoad() {
        assertEquals(sum(simulate(WIDE, 46, HEAVY_LOAD, 30)), 30L * 46 * HEAVY_LOAD);
    }

    @Test
    public void aLinkOfUnknownRateCarriesAllRecords() {
        assertEquals(sum(simulate(LinkRate.UNKNOWN, 46, HEAVY_LOAD, 3)), 3L * 46 * HEAVY_LOAD);
    }
}
