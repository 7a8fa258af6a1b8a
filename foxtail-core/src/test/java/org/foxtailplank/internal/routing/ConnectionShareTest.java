package org.foxtailplank.internal.routing;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class ConnectionShareTest {

    /**
     * An instance that gets its 65th connection refuses it, and a caller sees a failure. All nine
     * entries may be replaced at once, and the old ones still hold their connections when their
     * successors open theirs.
     */
    @Test
    public void staysUnderTheInstancesConnectionsWhileAllEntriesAreReplaced() {
        for (int near = 1; near <= 9; near++) {
            int far = 9 - near;
            ConnectionShare s = ConnectionShare.of(64, near, far);
            int all = 2 * (near * s.near() + far * s.far());
            assertTrue(all < 64, near + " near: " + all);
        }
    }

    @Test
    public void letsTheEntriesOfOneZoneFillAllSlotsAlone() {
        assertTrue(3 * ConnectionShare.of(64, 3, 6).near() >= 8);
        assertTrue(2 * ConnectionShare.of(64, 2, 7).near() >= 8);
    }
}
