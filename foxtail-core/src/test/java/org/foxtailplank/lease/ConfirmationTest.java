package org.foxtailplank.lease;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

public class ConfirmationTest {
    private static ClockReading at(long ms) {
        return new ClockReading(ms, 1_000_000 + ms);
    }

    @Test
    public void theAgeCountsFromTheLatestRequest() {
        Confirmation confirmation = Confirmation.NONE.extendedBy(at(100)).extendedBy(at(300));

        assertEquals(confirmation.ageMs(at(500)), 200);
    }

    /** Guards against a late response that makes a copy look older than it is. */
    @Test
    public void anEarlierRequestDoesNotShortenAConfirmation() {
        Confirmation confirmation = Confirmation.NONE.extendedBy(at(300)).extendedBy(at(100));

        assertEquals(confirmation.ageMs(at(500)), 200);
    }

    /** Guards against a suspended VM, whose monotonic clock stops. */
    @Test
    public void theTimeOfASuspensionCounts() {
        Confirmation confirmation = Confirmation.NONE.extendedBy(at(100));

        assertEquals(confirmation.ageMs(new ClockReading(110, 1_004_100)), 4000);
    }

    @Test
    public void aWallClockThatIsSetBackDoesNotReduceTheAge() {
        Confirmation confirmation = Confirmation.NONE.extendedBy(at(100));

        assertEquals(confirmation.ageMs(new ClockReading(600, 998_000)), 500);
    }

    @Test
    public void aCopyThatWasNeverConfirmedHasNoAge() {
        assertEquals(Confirmation.NONE.ageMs(at(100)), Long.MAX_VALUE);
    }
}
