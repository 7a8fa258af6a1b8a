package org.foxtailplank.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.foxtailplank.schedule.ScheduleLimits;
import org.testng.annotations.Test;

/** For how long an owner may still renew the leases of workers. */
public class RenewalWindowTest {
    private static final long LEASE_MS = 6000;
    private static final ScheduleLimits LIMITS = new ScheduleLimits(LEASE_MS, 250);
    private static final double DRIFT = 0.02;
    private static final Moment START = at(10_000);

    private static Moment at(long ms) {
        return new Moment(ms, 1_700_000_000_000L + ms);
    }

    private static long leaseMs(Moment now) {
        return RenewalWindow.closed().proved(START).leaseMs(now, LEASE_MS);
    }

    @Test
    public void anOwnerThatHasProvedNothingRenewsNothing() {
        assertEquals(RenewalWindow.closed().leaseMs(START, LEASE_MS), 0);
    }

    @Test
    public void fullLeasesAreGivenWithinTheWindowAndNoneAfterIt() {
        assertEquals(leaseMs(at(10_000 + RenewalWindow.LENGTH_MS)), LEASE_MS);
        assertEquals(leaseMs(at(10_000 + RenewalWindow.LENGTH_MS + LEASE_MS)), 0);
    }

    @Test
    public void noLeaseEndsLaterThanTheSuccessorWaits() {
        // The successor counts from the moment at which it has raised the epoch, which is no
        // earlier than the former owner's last proof was sent.
        for (long ms = 0; ms < 20_000; ms += 50) {
            long given = leaseMs(at(10_000 + ms));
            boolean over = given == 0 || ms + given <= RenewalWindow.LENGTH_MS + LEASE_MS;
            assertTrue(over, given + " ms of lease after " + ms + " ms without a proof");
        }
        assertTrue(RenewalWindow.WAIT_MS > RenewalWindow.LENGTH_MS);
    }

    @Test
    public void theSuccessorsWaitIsLongEnoughForClocksThatDriftApart() {
        // A former owner's clock and a worker's are 2% slow, and the successor's is 2% fast. The
        // former owner gives leases as late and as long as it may, and the worker holds each to its
        // end; the successor must not take the worker's runs as over before that.
        double waited = (RenewalWindow.WAIT_MS + LIMITS.leaseExpiryMs()) / (1 + DRIFT);
        for (long ms = 0; ms < 20_000; ms += 50) {
            double over = (ms + leaseMs(at(10_000 + ms))) / (1 - DRIFT);
            boolean given = leaseMs(at(10_000 + ms)) > 0;
            assertTrue(!given || over < waited, over + " ms, waited for " + waited);
        }
    }

    @Test
    public void aSuspensionCountsAlthoughTheSteadyClockStoodStill() {
        Moment awake = new Moment(10_050, START.wallMs() + 30_000);

        assertEquals(leaseMs(awake), 0);
    }

    @Test
    public void aClockThatIsSetBackDoesNotLengthenTheWindow() {
        Moment later = new Moment(30_000, START.wallMs() - 3_600_000);

        assertEquals(leaseMs(later), 0);
    }

    @Test
    public void anOlderProofThatComesLateDoesNotShortenTheWindow() {
        // An append to a partition that was away is stored at last; it was first sent long ago.
        RenewalWindow window = RenewalWindow.closed().proved(at(20_000)).proved(START);

        assertEquals(window.leaseMs(at(20_000), LEASE_MS), LEASE_MS);
    }
}
