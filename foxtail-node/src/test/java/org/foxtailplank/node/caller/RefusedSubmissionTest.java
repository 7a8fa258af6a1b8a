package org.foxtailplank.node.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.admission.AdmissionMode;
import org.foxtailplank.http.HttpReply;
import org.foxtailplank.node.FakeJobQueries;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.admission.ReportedPool;
import org.foxtailplank.node.admission.TestPools;
import org.foxtailplank.node.journal.JournalPartitions;
import org.foxtailplank.organisation.Organisation;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against refusals without a reason, and against records of refused jobs. */
public class RefusedSubmissionTest {
    private static final long TOKEN = 7;
    private static final String JOB = "00000000000000aa";
    private static final String BODY =
            "{\"spec\":\"a\",\"phases\":[{\"count\":1,\"cpu\":1,\"memMb\":1,\"estimateMs\":10}]}";

    private FakeTime mClock;
    private FakeSharedLog mLog;
    private FakeJobQueries mOwner;
    private CallerServiceFixture mService;

    @BeforeMethod
    public void setUp() {
        mClock = new FakeTime();
        mLog = new FakeSharedLog();
        mOwner = new FakeJobQueries();
        mOwner.mRefusal = (id, callback) -> callback.accept(true);
        mService = new CallerServiceFixture(mClock, mLog, new OneQueue(), mOwner);
        mService.readOperatorChanges();
        mService.setAdmission(AdmissionMode.SURELY_LATE);
    }

    /**
     * Receives a report of one core with work ahead, in milliseconds of that core. The work is that
     * of the caller's organisation, which its cap limits to this core.
     */
    private void report(long token, long workAheadMs) {
        ReportedPool pool =
                TestPools.cappedPool("s", mClock.nowMs(), 1, workAheadMs, Organisation.NONE);
        mService.capacity().update(token, List.of(pool));
    }

    private List<HttpReply> submit() {
        byte[] bytes = BODY.getBytes(StandardCharsets.UTF_8);
        List<HttpReply> replies = mService.send("POST", "/q/" + JOB, bytes, Optional.empty());
        mLog.deliverAnswers();
        return replies;
    }

    private int submitted() {
        List<HttpReply> replies = submit();
        assertEquals(replies.size(), 1);
        return replies.get(0).status();
    }

    private int storedRecords() {
        return mLog.records(JournalPartitions.PRIMARY).size();
    }

    @Test
    public void aJobThatIsSurelyLateIsRefusedAndNotStored() {
        report(TOKEN, 60_000);
        HttpReply reply = submit().get(0);

        assertEquals(reply.status(), 429);
        assertEquals(reply.contentType(), "text/plain");
        assertEquals(reply.headers(), Map.of());
        assertTrue(
                new String(reply.body(), StandardCharsets.UTF_8).endsWith("don't submit it again."),
                "no later return can help");
        assertEquals(storedRecords(), 0);
    }

    @Test
    public void aCallerWhoseJobCanBeDoneLaterIsToldWhenToReturn() {
        mService.setAdmission(AdmissionMode.BEYOND_OBJECTIVE);
        report(TOKEN, 800);
        HttpReply reply = submit().get(0);

        assertEquals(reply.status(), 429);
        assertEquals(reply.headers(), Map.of("Retry-After", "1"));
        assertEquals(
                new String(reply.body(), StandardCharsets.UTF_8),
                "The job was refused since it can't be completed in time now; submit it again"
                        + " after 1 s.");
        assertEquals(mOwner.mKeepMs, 900, "the refusal ends before the return");
    }

    @Test
    public void aRefusalWithoutAReturnIsKeptForTheLongestTime() {
        // Guards against another copy of the submission that is stored after the refusal.
        report(TOKEN, 60_000);
        submit();

        assertEquals(mOwner.mKeepMs, 3000);
    }

    @Test
    public void aRefusalIsLoggedAndCounted() {
        report(TOKEN, 60_000);
        mClock.advance(30);
        submit();
        String output = mService.output();

        assertTrue(output.contains("\"kind\":\"job-refused\""), output);
        assertTrue(output.contains("\"verdict\":\"SURELY_LATE\""), output);
        assertTrue(output.contains("\"capacityAgeMs\":30"), output);
        assertTrue(output.contains("foxtail_admission_queue_q_refused 1.0"), output);
    }

    @Test
    public void aJobWhoseAnswerWasLostIsNotRefusedWhenItIsSentAgain() {
        report(TOKEN, 0);
        assertEquals(submitted(), 200);
        mService.reader().refresh(read -> {});
        mLog.deliverAnswers();
        report(TOKEN, 60_000);

        assertEquals(submitted(), 200);
        assertEquals(storedRecords(), 1);
    }

    @Test
    public void aJobThatIsBeingStoredIsNotRefused() {
        byte[] bytes = BODY.getBytes(StandardCharsets.UTF_8);
        mService.send("POST", "/q/" + JOB, bytes, Optional.empty());
        report(TOKEN, 60_000);

        assertEquals(submitted(), 200);
        assertEquals(storedRecords(), 1);
    }

    @Test
    public void aJobThatAnotherNodeMayHaveStoredIsStoredAgain() {
        // Its first answer was lost, and this node hasn't read its record.
        mOwner.mRefusal = (id, callback) -> callback.accept(false);
        report(TOKEN, 60_000);

        assertEquals(submitted(), 200);
        assertTrue(mService.output().contains("admission_queue_q_accepted_may_be_stored 1.0"));
    }

    @Test
    public void aJobWhoseRecordIsReadWhileTheOwnerIsAskedIsNotRefused() {
        List<Consumer<Boolean>> asked = new ArrayList<>();
        mOwner.mRefusal = (id, callback) -> asked.add(callback);
        report(TOKEN, 60_000);
        List<HttpReply> replies = submit();
        CallerServiceFixture other =
                new CallerServiceFixture(mClock, mLog, new OneQueue(), new FakeJobQueries());
        other.readOperatorChanges();
        byte[] bytes = BODY.getBytes(StandardCharsets.UTF_8);
        other.send("POST", "/q/" + JOB, bytes, Optional.empty());
        mLog.deliverAnswers();
        mService.reader().refresh(read -> {});
        mLog.deliverAnswers();
        asked.get(0).accept(true);

        assertEquals(replies.get(0).status(), 200);
        assertEquals(storedRecords(), 1);
    }

    @Test
    public void aJobThatThisNodeHasStoredButNotReadIsNotRefused() {
        report(TOKEN, 0);
        assertEquals(submitted(), 200);
        report(TOKEN, 60_000);

        assertEquals(submitted(), 200);
    }

    @Test
    public void aReturningCallerKeepsItsPlaceIfItsJobIsNotStored() {
        mService.setAdmission(AdmissionMode.BEYOND_OBJECTIVE);
        report(TOKEN, 800);
        assertEquals(submitted(), 429);
        mClock.advance(1000);
        mLog.setUnavailable(JournalPartitions.PRIMARY, true);
        report(TOKEN, 0);
        assertEquals(submitted(), 503);

        mLog.setUnavailable(JournalPartitions.PRIMARY, false);
        report(TOKEN, 800);
        assertEquals(submitted(), 200, "its time has come");
    }

    @Test
    public void storingEndsWhenTheOwnerNoLongerProtectsTheJob() {
        // Guards against an append after another node was allowed to refuse the job.
        report(TOKEN, 0);
        byte[] bytes = BODY.getBytes(StandardCharsets.UTF_8);
        FakeSharedLog.ScriptedOutcome[] lost = new FakeSharedLog.ScriptedOutcome[60];
        Arrays.fill(lost, FakeSharedLog.ScriptedOutcome.LOST);
        mLog.scriptAppends(lost);
        List<HttpReply> replies = mService.send("POST", "/q/" + JOB, bytes, Optional.of("60000"));
        for (int i = 0; i < 52; i++) {
            mLog.deliverAnswers();
            mClock.advance(100);
        }

        assertEquals(replies.get(0).status(), 504);
    }

    @Test
    public void concurrentSubmissionsOfAJobGetTheSameAnswer() {
        List<Consumer<Boolean>> asked = new ArrayList<>();
        mOwner.mRefusal = (id, callback) -> asked.add(callback);
        report(TOKEN, 60_000);
        List<HttpReply> first = submit();
        List<HttpReply> second = submit();
        assertEquals(asked.size(), 1);
        asked.get(0).accept(true);

        assertEquals(first.get(0).status(), 429);
        assertEquals(second.get(0).status(), 429);
        assertEquals(storedRecords(), 0);
    }

    @Test
    public void aJobIsStoredIfTheOwnerIsLostBeforeItAgrees() {
        List<Consumer<Boolean>> asked = new ArrayList<>();
        mOwner.mRefusal = (id, callback) -> asked.add(callback);
        report(TOKEN, 60_000);
        List<HttpReply> replies = submit();
        asked.get(0).accept(false);
        mLog.deliverAnswers();

        assertEquals(replies.get(0).status(), 200);
        assertEquals(storedRecords(), 1);
    }

    @Test
    public void aRefusedJobThatIsSentAgainCanBeAccepted() {
        report(TOKEN, 60_000);
        assertEquals(submitted(), 429);
        report(TOKEN, 0);

        assertEquals(submitted(), 200);
        assertEquals(storedRecords(), 1);
    }

    @Test
    public void aNodeThatIsCutOffAcceptsOnceItsReportIsTooOld() {
        report(TOKEN, 60_000);
        mClock.advance(1001);

        assertEquals(submitted(), 200);
        String output = mService.output();
        assertTrue(output.contains("\"kind\":\"admission-unknown\""), output);
        assertTrue(output.contains("admission_queue_q_accepted_no_capacity 1.0"), output);
    }

    @Test
    public void unknownCapacityIsLoggedOnceASecond() {
        // Guards against a line for each job while the owner is lost.
        for (int i = 0; i < 12; i++) {
            submitted();
            mClock.advance(100);
        }

        assertEquals(mService.output().split("admission-unknown", -1).length - 1, 2);
    }

    @Test
    public void aRestartedNodeAcceptsBeforeItsFirstReport() {
        assertEquals(submitted(), 200);
    }

    @Test
    public void stepsOfTheWallClockChangeNoDecision() {
        report(TOKEN, 60_000);
        mClock.stepWallClock(3_600_000);
        assertEquals(submitted(), 429);

        mClock.stepWallClock(-7_200_000);
        assertEquals(submitted(), 429);
    }

    @Test
    public void theNextOwnersReportDecides() {
        report(TOKEN, 60_000);
        report(TOKEN + 1, 0);
        report(TOKEN, 60_000);

        assertEquals(submitted(), 200);
    }

    @Test
    public void admissionCanBeSwitchedWhileTheNodeRuns() {
        report(TOKEN, 60_000);
        mService.setAdmission(AdmissionMode.OFF);
        assertEquals(submitted(), 200);
        assertFalse(mService.output().contains("admission_"), "nothing is counted when it is off");
    }
}
