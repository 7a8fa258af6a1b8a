package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.Timetable;
import org.foxtailplank.node.FakeSharedLog.ScriptedOutcome;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.node.journal.JournalPartitions;
import org.testng.annotations.Test;

/** Tests an owner while the store takes no records. */
public class StoreOutageTest extends OwnerFleetTestBase {
    private static final TaskName SECOND_TASK = new TaskName(JOB, 0, 1, 0);

    /** Time after which an owner holds its starts back, and some decisions, in milliseconds. */
    private static final long HOLD_MS = 1500;

    /** A job of two steps with one task each, the second after the first. */
    private static byte[] twoStepJob() {
        QueuePolicy policy = new QueuePolicy(0, 2, 1.6, 600, Optional.empty());
        return JournalCodec.encode(
                new JobAccepted(
                        new JobDefinition(
                                JOB,
                                "queue",
                                SERVICE,
                                "text",
                                List.of(step(List.of()), step(List.of(0))),
                                Timetable.AT_ONCE,
                                policy,
                                0,
                                0,
                                "")));
    }

    private static TaskStep step(List<Integer> dependsOn) {
        return new TaskStep(
                1,
                Resources.of(1, 1, 0),
                500,
                dependsOn,
                PlacementConstraints.ANYWHERE,
                RunMode.PLAIN);
    }

    private OwnerSession startOwnerWithRunningTask() {
        mDirectory.add("w1", SERVICE);
        OwnerSession owner = startOwner(mLog, mWorkers.connect(), new Takeover(1, true, true));
        owner.storeHandedOver(twoStepJob(), outcome -> {});
        pass(1000);
        assertEquals(mWorkers.running(TASK), List.of("w1"));
        return owner;
    }

    private void setStoreDown(boolean down) {
        JournalPartitions.all(3).forEach(p -> mLog.setUnavailable(p, down));
    }

    private static boolean isWorkerInUse(OwnerSession owner) {
        return !owner.scheduler().worker("w1").orElseThrow().runs().isEmpty();
    }

    /**
     * Guards against workers held by starts that wait for their records until the store is back.
     */
    @Test
    public void aStartThatCannotBeRecordedHoldsNoWorker() {
        OwnerSession owner = startOwnerWithRunningTask();
        setStoreDown(true);
        mWorkers.finish("w1", TASK);
        pass(HOLD_MS);

        assertFalse(isWorkerInUse(owner), "during the outage");
        setStoreDown(false);
        pass(500);
        assertEquals(mWorkers.running(SECOND_TASK), List.of("w1"), "after the outage");
    }

    /** Guards against the same where the store doesn't answer, and records what it was sent. */
    @Test
    public void aStartWhoseRecordMayBeStoredHoldsNoWorker() {
        OwnerSession owner = startOwnerWithRunningTask();
        ScriptedOutcome[] lost = new ScriptedOutcome[400];
        Arrays.fill(lost, ScriptedOutcome.LATE);
        mLog.scriptAppends(lost);
        mWorkers.finish("w1", TASK);
        pass(2 * HOLD_MS);

        assertFalse(isWorkerInUse(owner), "during the outage");
        mLog.clearScript();
        mLog.performLateAppends();
        pass(1000);
        assertTrue(isWorkerInUse(owner));
        assertEquals(mWorkers.running(SECOND_TASK), List.of("w1"), "after the outage");
    }
}
