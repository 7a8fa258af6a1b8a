package org.foxtailplank.node.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.foxtailplank.node.LinkRate;
import org.testng.annotations.Test;

/** Guards against streamed records that fill a narrow link and delay commands to workers. */
public class StreamBudgetTest {
    private static final LinkRate NARROW = new LinkRate(1.4);
    private static final LinkRate WIDE = new LinkRate(140);
    private static final int BATCH_DELAY_MS = 20;
    private static final int SECOND_MS = 1000;

    /** Bytes of the journal per second at about ten jobs of eight tasks a step. */
    private static final int LOAD = 9000;

    /** Bytes of the journal per second at about fifty such jobs. */
    private static final int HEAVY_LOAD = 25_000;

    /** Bytes of the journal per second while only the owner's periodic records are written. */
    private static final int LOW_LOAD = 100;

    /** Returns the bytes sent in each second when records are streamed to this many nodes. */
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
            assertTrue(
                    s <= bytesPerS(NARROW) / 2, "more than half of the link in one second: " + s);
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
