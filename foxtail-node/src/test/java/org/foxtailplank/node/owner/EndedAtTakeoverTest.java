package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.EndedRun;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.job.JournalRecord.JobGivenUp;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.node.journal.JournalPartitions;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what a new owner does about runs of jobs that ended before its takeover. */
public class EndedAtTakeoverTest extends OwnerFleetTestBase {
    private static final String NEXT_JOB = "00000000000000bb";
    private static final TaskName NEXT_TASK = new TaskName(NEXT_JOB, 0, 0, 0);
    private static final long STOP_MS = 150;

    private FakeWorkers.Connection mConnection;

    @BeforeMethod
    public void setUp() {
        mVms = List.of(Vms.vm("vm1", "w1"));
        mDirectory.add("w1", SERVICE);
        mWorkers.setStopTime(STOP_MS);
        OwnerSession first = startOwner(mLog, mWorkers.connect(), new Takeover(1, true, true));
        first.storeHandedOver(jobOfAWholeWorker(JOB), outcome -> {});
        pass(1000);
        assertEquals(mWorkers.running(TASK), List.of("w1"));
        first.end();
        append(jobOfAWholeWorker(NEXT_JOB));
        mConnection = mWorkers.connect();
    }

    private void append(JournalRecord record) {
        append(JournalCodec.encode(record));
    }

    private void append(byte[] record) {
        mLog.append(JournalPartitions.PRIMARY, List.of(record), result -> {});
    }

    private void startNextOwner() {
        startOwner(mLog, mConnection, new Takeover(2, true, true));
    }

    private void passWithOneTaskAtATime(long ms) {
        for (long t = 0; t < ms; t += STEP_MS) {
            pass(STEP_MS);
            int running = mWorkers.running(TASK).size() + mWorkers.running(NEXT_TASK).size();
            assertTrue(running <= 1, running + " tasks after " + t + " ms");
        }
    }

    private void assertNextTaskStartsInThePlaceOfTheFirst() {
        passWithOneTaskAtATime(2000);
        assertEquals(mWorkers.running(NEXT_TASK), List.of("w1"));
    }

    /** Guards against a start in the place of a cancelled job's run that is still being stopped. */
    @Test
    public void tasksWaitUntilTheRunsOfACancelledJobAreOver() {
        append(new JobCancelled(JOB, mTime.wallMs()));
        startNextOwner();

        assertNextTaskStartsInThePlaceOfTheFirst();
    }

    /** Guards against a start in the place of the run of a job that was given up. */
    @Test
    public void tasksWaitUntilTheRunsOfAJobThatWasGivenUpAreOver() {
        append(new JobGivenUp(JOB, mTime.wallMs()));
        startNextOwner();

        assertNextTaskStartsInThePlaceOfTheFirst();
    }

    /** Guards against a start in the place of a task's second run, after the first one's end. */
    @Test
    public void tasksWaitUntilTheSecondRunOfACompletedTaskIsOver() {
        long atMs = mTime.wallMs();
        append(new RunsEnded(List.of(new EndedRun(TASK, 0, RunOutcome.DONE, atMs))));
        startNextOwner();

        assertNextTaskStartsInThePlaceOfTheFirst();
    }

    /** Guards against a run that goes on, as its owner had not heard of its job's end. */
    @Test
    public void tasksWaitForARunWhoseJobEndedLongAgo() {
        append(new JobCancelled(JOB, mTime.wallMs()));
        mWorkers.holdLease("w1");
        pass(60_000);
        startNextOwner();

        assertNextTaskStartsInThePlaceOfTheFirst();
    }

    /** Guards against a wall clock that makes the end of a job seem to be long ago. */
    @Test
    public void tasksWaitAlthoughTheWallClockHasStepped() {
        append(new JobCancelled(JOB, mTime.wallMs()));
        mTime.stepWallClock(60_000);
        startNextOwner();

        assertNextTaskStartsInThePlaceOfTheFirst();
    }

    /** Guards against a start in the place of a run on a worker that can't be reached. */
    @Test
    public void tasksWaitForAWorkerThatCannotBeReached() {
        append(new JobCancelled(JOB, mTime.wallMs()));
        mConnection.disconnect("w1");
        startNextOwner();

        passWithOneTaskAtATime(1000);
        assertEquals(mWorkers.running(TASK), List.of("w1"));
        mConnection.reconnect("w1");
        assertNextTaskStartsInThePlaceOfTheFirst();
    }
}
