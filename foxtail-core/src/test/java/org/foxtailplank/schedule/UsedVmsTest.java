package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.TaskStep;
import org.testng.annotations.Test;

public class UsedVmsTest {
    private static final long GB = 1L << 30;

    @Test
    public void theScarceResourceDeterminesTheVmsThatWouldSuffice() {
        // Guards against a lower bound by cores alone where memory limits the tasks on a VM.
        OwnerHarness owner = new OwnerHarness();
        for (int i = 0; i < 4; i++) {
            owner.addWorker("w" + i, "surveys", Resources.of(16, 64 * GB, 0), "r1", "z1");
        }
        TaskStep step =
                new TaskStep(
                        3,
                        Resources.of(2, 32 * GB, 0),
                        1000,
                        List.of(),
                        PlacementConstraints.ANYWHERE,
                        RunMode.PLAIN);
        owner.accept(OwnerHarness.definition("j", "surveys", 0, step));
        owner.placeTasks();

        assertEquals(UsedVms.of(owner.mScheduler.workersOf("surveys")), 1.5, 1e-9);
        PoolLoad load = owner.mScheduler.loads(owner.mConfig, owner.mNowMs, 0).get(0);
        assertEquals(load.vms(), 4);
        assertEquals(load.usedVms(), 1.5, 1e-9);
    }

    @Test
    public void aServiceWithoutWorkersUsesNone() {
        assertEquals(UsedVms.of(List.of()), 0.0);
    }
}
