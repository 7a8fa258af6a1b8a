package org.foxtailplank.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.foxtailplank.schedule.ScheduleLimits;
import org.testng.annotations.Test;

public class RenewalWindowTest {
    private static final long LEASE_MS = 6000;
    private static final ScheduleLimits LIMITS = new ScheduleLimits(LEASE_MS, 250, 200);
    private static final double DRIFT = 0.02;
    private static final ClockReading START = at(10_000);

    private static ClockReading at(long ms) {
        return new ClockReading(ms, 1_700_000_000_000L + ms);
    }

    private static long leaseMs(ClockReading now) {
        return RenewalWindow.closed().extendedFrom(START).leaseMs(now, LEASE_MS);
    }

    @Test
    public void ownerWithoutASuccessfulAppendRenewsNothing() {
        assertEquals(RenewalWindow.closed().leaseMs(START, LEASE_MS), 0);
    }

    @Test
    public void leasesAreFullWithinTheWindowAndEndSoonAfterIt() {
        assertEquals(leaseMs(at(10_000 + RenewalWindow.DURATION_MS)), LEASE_MS);
        assertEquals(leaseMs(at(10_000 + RenewalWindow.DURATION_MS + LEASE_MS)), 0);
    }

    @Test
    public void noLeaseOutlastsTheSuccessorsWait() {
        // The successor's wait starts when it raises the epoch, which is no earlier than the
        // former owner's last successful append was sent.
        for (long ms = 0; ms < 20_000; ms += 50) {
            long given = leaseMs(at(10_000 + ms));
            boolean withinWait = given == 0 || ms + given <= RenewalWindow.DURATION_MS + LEASE_MS;
            assertTrue(withinWait, given + " ms of lease after " + ms + " ms without an append");
        }
        assertTrue(RenewalWindow.TAKEOVER_WAIT_MS > RenewalWindow.DURATION_MS);
    }

    @Test
    public void successorsWaitCoversClockDrift() {
        // The clocks of the former owner and the worker are 2% slow, and the successor's is 2%
        // fast. The successor must not consider a lease expired while the worker still holds it.
        double waited = (RenewalWindow.TAKEOVER_WAIT_MS + LIMITS.leaseExpiryMs()) / (1 + DRIFT);
        for (long ms = 0; ms < 20_000; ms += 50) {
            double endsAt = (ms + leaseMs(at(10_000 + ms))) / (1 - DRIFT);
            boolean given = leaseMs(at(10_000 + ms)) > 0;
            assertTrue(!given || endsAt < waited, endsAt + " ms, waited for " + waited);
        }
    }

    @Test
    public void suspensionCountsAlthoughTheMonotonicClockStopped() {
        ClockReading resumed = new ClockReading(10_050, START.wallMs() + 30_000);

        assertEquals(leaseMs(resumed), 0);
    }

    @Test
    public void wallClockSetBackDoesNotExtendTheWindow() {
        ClockReading later = new ClockReading(30_000, START.wallMs() - 3_600_000);

        assertEquals(leaseMs(later), 0);
    }

    @Test
    public void appendCompletedOutOfOrderDoesNotShortenTheWindow() {
        // The append was sent earlier, to a partition that was unavailable until now.
        RenewalWindow window = RenewalWindow.closed().extendedFrom(at(20_000)).extendedFrom(START);

        assertEquals(window.leaseMs(at(20_000), LEASE_MS), LEASE_MS);
    }
}
