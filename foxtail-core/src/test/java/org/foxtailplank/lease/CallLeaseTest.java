package org.foxtailplank.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class CallLeaseTest {
    private static final ClockReading START = at(10_000);

    private static ClockReading at(long ms) {
        return new ClockReading(ms, 1_700_000_000_000L + ms);
    }

    private static CallLease activeLease() {
        return CallLease.of(false).extendedFrom(START).epochRaised(START.steadyMs(), true);
    }

    @Test
    public void serviceThatChecksTokensNeedsNoLease() {
        assertEquals(CallLease.of(true).remainingMs(START), Long.MAX_VALUE);
        assertTrue(CallLease.of(true).isWaitOver(0));
    }

    @Test
    public void noCallStartsBeforeTheEpochIsRaised() {
        assertEquals(CallLease.of(false).extendedFrom(START).remainingMs(START), 0);
    }

    @Test
    public void leaseStartsWhenTheAppendWasSent() {
        assertEquals(activeLease().remainingMs(at(10_300)), CallLease.DURATION_MS - 300);
        assertEquals(activeLease().remainingMs(at(10_000 + CallLease.DURATION_MS)), 0);
    }

    @Test
    public void noCallStartsWithTooLittleTimeRemaining() {
        long late = 10_001 + CallLease.DURATION_MS - CallLease.MIN_CALL_MS;

        assertEquals(activeLease().remainingMs(at(late)), 0);
    }

    @Test
    public void suspensionCountsAlthoughTheMonotonicClockStopped() {
        // The owner is replaced while its VM is suspended, but its monotonic clock hardly advanced.
        ClockReading resumed = new ClockReading(10_050, START.wallMs() + 5_000);

        assertEquals(activeLease().remainingMs(resumed), 0);
    }

    @Test
    public void wallClockSetBackDoesNotExtendTheLease() {
        ClockReading later =
                new ClockReading(10_000 + CallLease.DURATION_MS, START.wallMs() - 3_600_000);

        assertEquals(activeLease().remainingMs(later), 0);
    }

    @Test
    public void successorWaitsForThePredecessorsLeaseToExpire() {
        CallLease taken =
                CallLease.of(false).extendedFrom(START).epochRaised(START.steadyMs(), false);
        long wait = CallLease.DURATION_MS + CallLease.MARGIN_MS;

        assertFalse(taken.isWaitOver(10_000 + wait - 1));
        assertEquals(taken.extendedFrom(at(11_000)).remainingMs(at(10_000 + wait - 1)), 0);
        assertTrue(taken.extendedFrom(at(11_000)).remainingMs(at(10_000 + wait)) > 0);
    }
}
