package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.TaskName;
import org.testng.annotations.Test;

/** Tests an owner whose workers start again under their IDs. */
public class WorkerRestartTest extends OwnerFleetTestBase {
    private static final long FIRST_START_MS = 1_700_000_000_000L;
    private static final long SECOND_START_MS = FIRST_START_MS + 60_000;

    /** A start time in the year 9000. */
    private static final long FUTURE_START_MS = 221_845_392_000_000L;

    private static final TaskName OTHER_TASK = new TaskName("00000000000000bb", 0, 0, 0);

    private FakeWorkers.Connection mConnection;

    private OwnerSession startOwner(byte[] job) {
        mConnection = mWorkers.connect();
        mWorkers.startAt("w1", FIRST_START_MS);
        mDirectory.add("w1", FIRST_START_MS, SERVICE);
        OwnerSession owner = startOwner(mLog, mConnection, new Takeover(1, true, true));
        owner.storeHandedOver(job, outcome -> {});
        pass(2000);
        assertEquals(mWorkers.running(TASK), List.of("w1"));
        return owner;
    }

    private boolean isDone(TaskName task) {
        return mContexts.get(0).reader().registry().job(task.job()).orElseThrow().isDone(task);
    }

    /** Guards against an owner that takes each answer of a restarted worker for an outdated one. */
    @Test
    public void aStandingTaskStartsAgainAfterItsWorkerHasRestartedUnderItsId() {
        startOwner(standingJob());
        mWorkers.startAt("w1", SECOND_START_MS);
        pass(2000);
        // Its attributes are unknown until it has registered.
        assertEquals(mWorkers.running(TASK), List.of());
        mDirectory.add("w1", SECOND_START_MS, SERVICE);
        pass(2000);

        assertEquals(mWorkers.running(TASK), List.of("w1"));
    }

    /** Guards against a poll that acknowledges ends of a restarted worker before they are read. */
    @Test
    public void anEndOnARestartedWorkerIsStoredAlthoughItsNumberWasAcknowledgedBefore() {
        OwnerSession owner = startOwner(job(RunMode.PLAIN));
        mWorkers.finish("w1", TASK);
        pass(2000);
        assertTrue(isDone(TASK));

        mConnection.disconnect("w1");
        pass(600);
        mWorkers.startAt("w1", SECOND_START_MS);
        mDirectory.add("w1", SECOND_START_MS, SERVICE);
        mConnection.reconnect("w1");
        owner.storeHandedOver(job(OTHER_TASK.job(), RunMode.PLAIN), outcome -> {});
        for (int i = 0; i < 200 && mWorkers.running(OTHER_TASK).isEmpty(); i++) {
            pass(STEP_MS);
        }
        mWorkers.finish("w1", OTHER_TASK);
        pass(2000);

        assertTrue(isDone(OTHER_TASK));
    }

    /** Guards against a foreign entry that makes the worker's own entry count as outdated. */
    @Test
    public void aWorkerIsUsedOnAfterAForeignEntryWithALaterStartTime() {
        OwnerSession owner = startOwner(job(RunMode.PLAIN));
        mWorkers.finish("w1", TASK);
        mDirectory.add("w1", FUTURE_START_MS, SERVICE);
        pass(1500);
        mDirectory.add("w1", FIRST_START_MS, SERVICE);
        pass(1500);
        owner.storeHandedOver(job(OTHER_TASK.job(), RunMode.PLAIN), outcome -> {});
        pass(1500);

        assertEquals(mWorkers.running(OTHER_TASK), List.of("w1"));
    }

    /** Guards against the same where the owner reads the foreign entry first. */
    @Test
    public void aWorkerIsUsedAlthoughAForeignEntryWithALaterStartTimeWasReadFirst() {
        mDirectory.add("w1", FUTURE_START_MS, SERVICE);
        OwnerSession owner = startOwner(job(RunMode.PLAIN));
        mWorkers.finish("w1", TASK);
        pass(500);
        owner.storeHandedOver(job(OTHER_TASK.job(), RunMode.PLAIN), outcome -> {});
        pass(1500);

        assertEquals(mWorkers.running(OTHER_TASK), List.of("w1"));
    }

    /** Guards against a second start of a task that a restarted worker was told to start. */
    @Test
    public void aTaskThatWasStartedBeforeTheRestartWasNoticedRunsOnce() {
        OwnerSession owner = startOwner(job(RunMode.PLAIN));
        mWorkers.finish("w1", TASK);
        pass(2000);

        mWorkers.startAt("w2", FIRST_START_MS);
        mDirectory.add("w2", FIRST_START_MS, SERVICE);
        mConnection.disconnect("w1");
        mWorkers.startAt("w1", SECOND_START_MS);
        owner.storeHandedOver(job(OTHER_TASK.job(), RunMode.PLAIN), outcome -> {});
        pass(100);
        mConnection.reconnect("w1");
        passAssertingAtMostOneRun(OTHER_TASK, 400 * STEP_MS);

        assertEquals(mWorkers.running(OTHER_TASK).size(), 1);
    }

    /** Guards against a successor that doesn't know of a start that the next incarnation runs. */
    @Test
    public void aSuccessorInheritsAStartThatTheNextIncarnationHasExecuted() {
        OwnerSession owner = startOwner(job(RunMode.PLAIN));
        mWorkers.finish("w1", TASK);
        pass(2000);
        mConnection.disconnect("w1");
        mWorkers.startAt("w1", SECOND_START_MS);
        owner.storeHandedOver(job(OTHER_TASK.job(), RunMode.PLAIN), outcome -> {});
        pass(100);
        mConnection.reconnect("w1");
        pass(2000);
        assertEquals(mWorkers.running(OTHER_TASK), List.of("w1"));

        owner.end();
        mWorkers.startAt("w2", FIRST_START_MS);
        mDirectory.add("w2", FIRST_START_MS, SERVICE);
        FakeWorkers.Connection connection = mWorkers.connect();
        connection.disconnect("w1");
        startOwner(mLog, connection, new Takeover(2, true, true));
        passAssertingAtMostOneRun(OTHER_TASK, 400 * STEP_MS);
    }

    /** Guards against a successor that waits for a run of its worker's former incarnation. */
    @Test
    public void aSuccessorStartsATaskAgainWhoseWorkerRestartedBetweenTheOwners() {
        startOwner(standingJob()).end();
        mWorkers.startAt("w1", SECOND_START_MS);
        mDirectory.add("w1", SECOND_START_MS, SERVICE);
        startOwner(mLog, mWorkers.connect(), new Takeover(2, true, true));
        pass(2000);

        assertEquals(mWorkers.running(TASK), List.of("w1"));
    }

    /** Guards against an entry of a former incarnation that replaces the current one. */
    @Test
    public void anEntryOfAFormerIncarnationThatIsReadLateIsIgnored() {
        startOwner(standingJob());
        mWorkers.startAt("w1", SECOND_START_MS);
        mDirectory.add("w1", SECOND_START_MS, SERVICE);
        pass(2000);
        assertEquals(mWorkers.running(TASK), List.of("w1"));
        mDirectory.add("w1", FIRST_START_MS, SERVICE);
        for (int i = 0; i < 200; i++) {
            pass(STEP_MS);
            assertEquals(mWorkers.running(TASK), List.of("w1"), "after " + i + " steps");
        }
    }

    /** Guards against a restarted worker that is ignored since its clock was set back. */
    @Test
    public void aWorkerThatRestartsWithAnEarlierStartTimeIsUsed() {
        startOwner(standingJob());
        mWorkers.startAt("w1", FIRST_START_MS - 3000);
        mDirectory.add("w1", FIRST_START_MS - 3000, SERVICE);
        pass(2000);

        assertEquals(mWorkers.running(TASK), List.of("w1"));
    }
}
