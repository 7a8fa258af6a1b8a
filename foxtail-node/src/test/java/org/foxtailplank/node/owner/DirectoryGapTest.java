package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests that workers are found in time while the platform drops the directory's history. */
public class DirectoryGapTest extends OwnerFleetTestBase {
    /** A few reads of the directory; a VM that joins in a burst is needed at once. */
    private static final long READS_MS = 100;

    @Test
    public void aWorkerThatJoinsAfterAGapIsUsedAtOnce() {
        // Guards against a pause after each gap, by which VMs joined a burst 0.3 s late.
        OwnerSession owner = startOwner(mLog, mWorkers.connect(), new Takeover(1, true, true));
        mDirectory.add("w1", SERVICE);
        pass(500);
        int before = mDirectory.fullReads();

        mDirectory.dropHistory();
        mDirectory.add("w2", SERVICE);
        pass(READS_MS);

        assertTrue(owner.scheduler().worker("w2").isPresent());
        assertEquals(mDirectory.fullReads(), before + 1);
    }
}
