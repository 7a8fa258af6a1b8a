package org.foxtailplank.schedule;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.port.WorkerInfo;
import org.testng.annotations.Test;

/** Tests when an owner resigns because it is cut off. */
public class OwnerReachabilityTest {
    private static final long NOW_MS = 100_000;
    private static final long LONG_AGO_MS = NOW_MS - 3000;

    private static List<WorkerState> workers(int unresponsive, int responsive) {
        List<WorkerState> workers = new ArrayList<>();
        for (int i = 0; i < unresponsive + responsive; i++) {
            WorkerInfo entry = OwnerHarness.info("w" + i, "surveys", 1);
            WorkerState w = new WorkerState(entry.incarnation(), entry.address(), NOW_MS);
            w.registration().apply(entry);
            if (i < unresponsive) {
                w.markUnresponsive(NOW_MS);
            }
            workers.add(w);
        }
        return workers;
    }

    @Test
    public void anOwnerInAPartitionedZoneIsCutOff() {
        // Guards against an owner that only the store can reach, which no other node would replace.
        assertTrue(OwnerReachability.isCutOff(workers(20, 10), LONG_AGO_MS, NOW_MS));
    }

    /** Guards against an owner on a full link that resigns although all its workers answer late. */
    @Test
    public void anOwnerWhoseWorkersAnswerLateIsNotCutOff() {
        List<WorkerState> workers = workers(30, 0);
        workers.forEach(w -> w.recordLateAnswer(NOW_MS, NOW_MS - 1000, 0));

        assertFalse(OwnerReachability.isCutOff(workers, LONG_AGO_MS, NOW_MS));
    }

    /** Guards against an owner that is cut off and stays because it once received late answers. */
    @Test
    public void anOwnerWhoseLateAnswersHaveEndedIsCutOff() {
        List<WorkerState> workers = workers(30, 0);
        workers.forEach(w -> w.recordLateAnswer(NOW_MS, NOW_MS - 1800, 0));

        assertTrue(OwnerReachability.isCutOff(workers, LONG_AGO_MS, NOW_MS));
    }

    @Test
    public void anOwnerThatMissesAnotherZoneIsNotCutOff() {
        // The zone of the VM service is cut off; no other node would reach more.
        assertFalse(OwnerReachability.isCutOff(workers(10, 20), LONG_AGO_MS, NOW_MS));
    }

    @Test
    public void unresponsiveWorkersAloneDoNotCutOffAnOwner() {
        // A rack has crashed; another owner would see the same.
        assertFalse(OwnerReachability.isCutOff(workers(10, 20), NOW_MS - 100, NOW_MS));
    }

    @Test
    public void anUnavailableVmServiceAloneDoesNotCutOffAnOwner() {
        assertFalse(OwnerReachability.isCutOff(workers(1, 29), LONG_AGO_MS, NOW_MS));
    }
}
