package org.foxtailplank.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** When an owner may call the VM service, and for how long. */
public class CallLeaseTest {
    private static final Moment START = at(10_000);

    private static Moment at(long ms) {
        return new Moment(ms, 1_700_000_000_000L + ms);
    }

    private static CallLease open() {
        return CallLease.of(false).proved(START).tookOver(START.steadyMs(), true);
    }

    @Test
    public void aServiceThatChecksTokensNeedsNoLease() {
        assertEquals(CallLease.of(true).leftMs(START), Long.MAX_VALUE);
        assertTrue(CallLease.of(true).isOpen(0));
    }

    @Test
    public void noCallIsMadeBeforeTheEpochIsRaised() {
        assertEquals(CallLease.of(false).proved(START).leftMs(START), 0);
    }

    @Test
    public void aProofHoldsFromTheMomentAtWhichItsAppendWasSent() {
        assertEquals(open().leftMs(at(10_300)), CallLease.LENGTH_MS - 300);
        assertEquals(open().leftMs(at(10_000 + CallLease.LENGTH_MS)), 0);
    }

    @Test
    public void aCallIsNotBegunWithTooLittleTimeLeft() {
        long late = 10_001 + CallLease.LENGTH_MS - CallLease.LEAST_CALL_MS;

        assertEquals(open().leftMs(at(late)), 0);
    }

    @Test
    public void aSuspensionCountsAlthoughTheSteadyClockStoodStill() {
        // A VM is suspended for seconds and its owner is replaced meanwhile. By its steady clock
        // the proof is still young when it wakes up.
        Moment awake = new Moment(10_050, START.wallMs() + 5_000);

        assertEquals(open().leftMs(awake), 0);
    }

    @Test
    public void aClockThatIsSetBackDoesNotLengthenTheLease() {
        Moment later = new Moment(10_000 + CallLease.LENGTH_MS, START.wallMs() - 3_600_000);

        assertEquals(open().leftMs(later), 0);
    }

    @Test
    public void aSuccessorWaitsThePredecessorsLeaseOut() {
        CallLease taken = CallLease.of(false).proved(START).tookOver(START.steadyMs(), false);
        long wait = CallLease.LENGTH_MS + CallLease.MARGIN_MS;

        assertFalse(taken.isOpen(10_000 + wait - 1));
        assertEquals(taken.proved(at(11_000)).leftMs(at(10_000 + wait - 1)), 0);
        assertTrue(taken.proved(at(11_000)).leftMs(at(10_000 + wait)) > 0);
    }
}
