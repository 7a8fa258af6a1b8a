package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.job.JournalRecord.JobGivenUp;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.node.journal.JournalPartitions;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what a new owner does about the runs of jobs that ended shortly before its takeover. */
public class EndedAtTakeoverTest extends OwnerFleetTestBase {
    private static final String NEXT_JOB = "00000000000000bb";
    private static final TaskName NEXT_TASK = new TaskName(NEXT_JOB, 0, 0, 0);
    private static final long STOP_MS = 150;

    private FakeWorkers.Connection mConnection;

    @BeforeMethod
    public void setUp() {
        mForecastBursts = true; // This registry keeps ended jobs.
        mVms = List.of(Vms.vm("vm1", "w1"));
        mDirectory.add("w1", SERVICE);
        mWorkers.setStopTime(STOP_MS);
        OwnerSession first = startOwner(mLog, mWorkers.connect(), new Takeover(1, true, true));
        first.storeHandedOver(jobOfAWholeWorker(JOB), outcome -> {});
        pass(1000);
        assertEquals(mWorkers.running(TASK), List.of("w1"));
        first.end();
        mConnection = mWorkers.connect();
    }

    @DataProvider
    public Object[][] ends() {
        long atMs = new FakeTime().wallMs();
        return new Object[][] {{new JobCancelled(JOB, atMs)}, {new JobGivenUp(JOB, atMs)}};
    }

    /** Guards against starts in the place of runs that are still being stopped. */
    @Test(dataProvider = "ends")
    public void tasksWaitUntilTheRunsOfTheEndedJobAreOver(JournalRecord end) {
        append(end);
        append(jobOfAWholeWorker(NEXT_JOB));
        startOwner(mLog, mConnection, new Takeover(2, true, true));

        passWithOneTaskAtATime(2000);
        assertEquals(mWorkers.running(NEXT_TASK), List.of("w1"));
    }

    /** Guards against the same while the worker can't be reached. */
    @Test
    public void tasksWaitForAWorkerThatCannotBeReached() {
        append(new JobCancelled(JOB, mTime.wallMs()));
        append(jobOfAWholeWorker(NEXT_JOB));
        mConnection.disconnect("w1");
        startOwner(mLog, mConnection, new Takeover(2, true, true));

        passWithOneTaskAtATime(1000);
        assertEquals(mWorkers.running(TASK), List.of("w1"));
        mConnection.reconnect("w1");
        passWithOneTaskAtATime(2000);
        assertEquals(mWorkers.running(NEXT_TASK), List.of("w1"));
    }

    private void append(JournalRecord record) {
        append(JournalCodec.encode(record));
    }

    private void append(byte[] record) {
        mLog.append(JournalPartitions.PRIMARY, List.of(record), result -> {});
    }

    private void passWithOneTaskAtATime(long ms) {
        for (long t = 0; t < ms; t += STEP_MS) {
            pass(STEP_MS);
            int running = mWorkers.running(TASK).size() + mWorkers.running(NEXT_TASK).size();
            assertTrue(running <= 1, running + " tasks after " + t + " ms");
        }
    }
}
