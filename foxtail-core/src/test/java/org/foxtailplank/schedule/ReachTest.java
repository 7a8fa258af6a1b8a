package org.foxtailplank.schedule;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** When an owner gives its place up because it reaches too little. */
public class ReachTest {
    private static final long NOW_MS = 100_000;
    private static final long LONG_AGO_MS = NOW_MS - 3000;

    private static List<WorkerState> workers(int silent, int others) {
        List<WorkerState> workers = new ArrayList<>();
        for (int i = 0; i < silent + others; i++) {
            WorkerState w = new WorkerState(Owner.info("w" + i, "surveys", 1), NOW_MS);
            if (i < silent) {
                w.silent();
            }
            workers.add(w);
        }
        return workers;
    }

    @Test
    public void anOwnerWhoseZoneIsCutOffGivesItsPlaceUp() {
        // Callers' jobs wait for seconds although most workers are well: the owner's zone is cut
        // off, the store alone still hears it, and so no other node takes its place.
        assertTrue(Reach.isCutOff(workers(20, 10), LONG_AGO_MS, NOW_MS));
    }

    @Test
    public void anOwnerThatMissesAnotherZoneStays() {
        // The zone in which the VM service stands is cut off. The owner left, although the next one
        // could reach no more than it, and jobs waited for the change.
        assertFalse(Reach.isCutOff(workers(10, 20), LONG_AGO_MS, NOW_MS));
    }

    @Test
    public void silentWorkersAloneAreNoReason() {
        // A rack crashes: another owner would see just the same.
        assertFalse(Reach.isCutOff(workers(10, 20), NOW_MS - 100, NOW_MS));
    }

    @Test
    public void aVmServiceThatIsDownIsNoReason() {
        assertFalse(Reach.isCutOff(workers(1, 29), LONG_AGO_MS, NOW_MS));
    }
}
