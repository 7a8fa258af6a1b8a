package org.foxtailplank.node;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class LinkBudgetTest {
    /** 12,500 bytes per second. */
    private static final LinkRate VERY_NARROW = new LinkRate(0.1);

    private static final double SHARE = 0.5;
    private static final long BURST_MS = 250;
    private static final int LARGE = 4000;

    @Test
    public void throughputStaysWithinTheShareOfTheLink() {
        LinkBudget budget = new LinkBudget(new LinkRate(10), SHARE, BURST_MS, 0, 0);
        long sent = 0;
        for (long now = 0; now < 10_000; now++) {
            sent += budget.tryConsume(LARGE, now) ? LARGE : 0;
        }

        assertTrue(sent <= 10 * 625_000 + 625_000 * BURST_MS / 1000, sent + " bytes");
        assertTrue(sent >= 9 * 625_000, sent + " bytes");
    }

    /** Guards against a command larger than the burst that is never sent. */
    @Test
    public void theMinimumBurstIsAvailableOnAnyLink() {
        LinkBudget budget = new LinkBudget(VERY_NARROW, SHARE, BURST_MS, LARGE, 0);

        assertTrue(budget.tryConsume(LARGE, 0));
        assertFalse(budget.tryConsume(LARGE, 300));
        assertTrue(budget.tryConsume(LARGE, 700));
    }

    @Test
    public void aLinkOfUnknownRateIsNotLimited() {
        LinkBudget budget = new LinkBudget(LinkRate.UNKNOWN, SHARE, BURST_MS, 0, 0);

        assertTrue(budget.tryConsume(Integer.MAX_VALUE, 0));
        assertTrue(budget.tryConsume(Integer.MAX_VALUE, 0));
    }
}
