package org.foxtailplank.internal.routing;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class ConnectionShareTest {

    /** Guards against refused connections while all nine entries are replaced at once. */
    @Test
    public void sharesStayBelowTheInstancesLimitWhileAllEntriesAreReplaced() {
        for (int sameZone = 1; sameZone <= 9; sameZone++) {
            int otherZone = 9 - sameZone;
            ConnectionShare s = ConnectionShare.of(64, sameZone, otherZone);
            int all = 2 * (sameZone * s.sameZone() + otherZone * s.otherZone());
            assertTrue(all < 64, sameZone + " in the same zone: " + all);
        }
    }

    @Test
    public void entriesOfOneZoneCanFillAllSlots() {
        assertTrue(3 * ConnectionShare.of(64, 3, 6).sameZone() >= 8);
        assertTrue(2 * ConnectionShare.of(64, 2, 7).sameZone() >= 8);
    }
}
