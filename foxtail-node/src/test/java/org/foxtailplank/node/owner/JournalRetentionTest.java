package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.CancelledId;
import org.foxtailplank.job.JournalRecord.UnknownJobsCancelled;
import org.foxtailplank.job.JournalRecord.VmRebooted;
import org.foxtailplank.job.JournalRecord.WaveCompleted;
import org.foxtailplank.job.JournalRecord.WaveDue;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.journal.JournalPartitions;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against jobs and waves that no node knows once every node has been restarted, as their
 * records in the journal have expired.
 */
public class JournalRetentionTest extends JournalRetentionTestBase {
    @DataProvider
    public Object[][] loads() {
        return new Object[][] {
            {20_000, 10.5}, {5000, 10.5}, {20_000, 80}, {300_000, 10.5}, {2000, 3},
        };
    }

    @Test(dataProvider = "loads")
    public void everyJobIsKnownToANodeThatStartsLater(long retentionMs, double jobsPerS) {
        start(retentionMs);
        for (int i = 1; i <= 4; i++) {
            pass(45_000, jobsPerS);
            assertNothingIsLost("after " + i * 45 + " s");
        }
    }

    @DataProvider
    public Object[][] tenures() {
        return new Object[][] {{1500}, {4000}, {9000}};
    }

    @Test(dataProvider = "tenures")
    public void everyJobIsKnownAfterASeriesOfOwnersThatHaveJustStarted(long tenureMs) {
        start(20_000);
        pass(40_000, 10.5);
        for (int i = 1; i <= 40_000 / tenureMs; i++) {
            replaceOwner();
            pass(tenureMs, 10.5);
            assertNothingIsLost("after " + i + " owners");
        }
    }

    /** Guards against owners that end before their first check, while the copies grow old. */
    @Test
    public void everyJobIsKnownAfterOwnersThatLastForHalfASecond() {
        start(20_000);
        pass(40_000, 10.5);
        mRunning.clear();
        for (int i = 1; i <= 6; i++) {
            mOwner.mEnded = true;
            pass(6000, 0);
            replaceOwner();
            pass(500, 0);
            assertNothingIsLost("after " + i + " owners");
        }
    }

    @Test
    public void wavesAreKnownAfterASeriesOfOwnersThatHaveJustStarted() {
        start(20_000);
        List<JournalRecord> facts =
                List.of(
                        new VmRebooted(1, "vm1"),
                        new VmRebooted(1, "vm2"),
                        new WaveDue(1, 77),
                        new WaveCompleted(2));
        facts.forEach(f -> mOwner.mJournal.store(f, () -> {}));
        pass(3000, 1);
        for (int i = 0; i < 20; i++) {
            replaceOwner();
            pass(3000, 1);
        }
        Node node = new Node();
        node.read();

        assertEquals(node.registry().rebooted(1), Set.of("vm1", "vm2"));
        assertEquals(node.registry().waveDueMs(1).orElseThrow(), 77L);
        assertTrue(node.registry().isCompleted(2));
    }

    /** Guards against a node that missed expired records, and against what it does as the owner. */
    @Test
    public void everyJobIsKnownToANodeThatWasDisconnectedForLongerThanTheRetention() {
        start(20_000);
        pass(30_000, 10.5);
        Node disconnected = new Node();
        disconnected.read();
        pass(50_000, 10.5);
        disconnected.read();
        assertNothingIsLost("at a node that was disconnected", disconnected);
        mOwner.mEnded = true;
        mOwner.mJournal.close();
        mOwner = disconnected;
        mOwner.takeOver();
        pass(30_000, 10.5);

        assertNothingIsLost("after it has owned");
    }

    /** Guards against a job whose late record runs, as the record of its cancellation expired. */
    @Test
    public void anEarlyCancellationIsKnownAfterASeriesOfOwners() {
        start(20_000);
        CancelledId id = new CancelledId("aa", "", "queue", mTime.wallMs());
        mOwner.mJournal.store(new UnknownJobsCancelled(List.of(id)), () -> {});
        pass(3000, 1);
        for (int i = 0; i < 30; i++) {
            replaceOwner();
            pass(3000, 1);
        }
        Node node = new Node();
        node.read();

        assertTrue(node.registry().earlyCancellations().contains(id));
    }

    @Test
    public void everyJobIsKnownAfterTheStoreWasUnavailableForAThirdOfTheRetention() {
        start(20_000);
        pass(40_000, 10.5);
        mRunning.clear();
        JournalPartitions.all(3).forEach(p -> mLog.setUnavailable(p, true));
        pass(6600, 0);
        JournalPartitions.all(3).forEach(p -> mLog.setUnavailable(p, false));
        pass(6600, 0);

        assertNothingIsLost("after the outage");
    }

    @Test
    public void aRewriteWithoutAnAnswerIsRepeated() {
        start(20_000);
        pass(40_000, 10.5);
        for (int i = 0; i < 10; i++) {
            mLog.scriptAppends(
                    FakeSharedLog.ScriptedOutcome.REFUSED, FakeSharedLog.ScriptedOutcome.LOST);
            pass(4000, 0);
        }

        assertNothingIsLost("after lost answers");
    }

    @DataProvider
    public Object[][] steps() {
        return new Object[][] {{-3_600_000}, {3_600_000}};
    }

    @Test(dataProvider = "steps")
    public void standingJobsAreKnownAfterTheWallClockOfTheOwnerWasStepped(long stepMs) {
        start(20_000);
        pass(10_000, 10.5);
        mTime.stepWallClock(stepMs);
        mPhases.keySet().removeIf(mEndedMs::containsKey);
        mRunning.forEach(r -> mPhases.remove(r.id()));
        mRunning.clear();
        pass(60_000, 0);

        assertTrue(mPhases.size() >= 2);
        assertNothingIsLost("after the step");
    }

    /** Guards against records that are rewritten although nobody needs them any more. */
    @Test
    public void endedJobsAreNotRewrittenIfTheirRecordsOutlastThem() {
        start(300_000);
        pass(160_000, 10.5);
        mOwner.read();

        assertEquals(
                mOwner.mContext.metrics().counter("journal_rewritten_ended_jobs").getCount(), 0);
    }
}
