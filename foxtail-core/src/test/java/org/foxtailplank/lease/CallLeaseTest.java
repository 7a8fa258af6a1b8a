package org.foxtailplank.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class CallLeaseTest {
    private static final Moment START = at(10_000);

    private static Moment at(long ms) {
        return new Moment(ms, 1_700_000_000_000L + ms);
    }

    private static CallLease activeLease() {
        return CallLease.of(false).proved(START).tookOver(START.steadyMs(), true);
    }

    @Test
    public void serviceThatChecksTokensNeedsNoLease() {
        assertEquals(CallLease.of(true).leftMs(START), Long.MAX_VALUE);
        assertTrue(CallLease.of(true).isOpen(0));
    }

    @Test
    public void noCallStartsBeforeTheEpochIsRaised() {
        assertEquals(CallLease.of(false).proved(START).leftMs(START), 0);
    }

    @Test
    public void leaseStartsWhenTheAppendWasSent() {
        assertEquals(activeLease().leftMs(at(10_300)), CallLease.DURATION_MS - 300);
        assertEquals(activeLease().leftMs(at(10_000 + CallLease.DURATION_MS)), 0);
    }

    @Test
    public void noCallStartsWithTooLittleTimeRemaining() {
        long late = 10_001 + CallLease.DURATION_MS - CallLease.MIN_CALL_MS;

        assertEquals(activeLease().leftMs(at(late)), 0);
    }

    @Test
    public void suspensionCountsAlthoughTheMonotonicClockStopped() {
        // The owner is replaced while its VM is suspended, but its monotonic clock hardly advanced.
        Moment resumed = new Moment(10_050, START.wallMs() + 5_000);

        assertEquals(activeLease().leftMs(resumed), 0);
    }

    @Test
    public void wallClockSetBackDoesNotExtendTheLease() {
        Moment later = new Moment(10_000 + CallLease.DURATION_MS, START.wallMs() - 3_600_000);

        assertEquals(activeLease().leftMs(later), 0);
    }

    @Test
    public void successorWaitsForThePredecessorsLeaseToExpire() {
        CallLease taken = CallLease.of(false).proved(START).tookOver(START.steadyMs(), false);
        long wait = CallLease.DURATION_MS + CallLease.MARGIN_MS;

        assertFalse(taken.isOpen(10_000 + wait - 1));
        assertEquals(taken.proved(at(11_000)).leftMs(at(10_000 + wait - 1)), 0);
        assertTrue(taken.proved(at(11_000)).leftMs(at(10_000 + wait)) > 0);
    }
}
