package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.foxtailplank.job.CrashHistory;
import org.foxtailplank.job.JobPhase;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.CancelledId;
import org.foxtailplank.job.JournalRecord.EndedRun;
import org.foxtailplank.job.JournalRecord.JobGivenUp;
import org.foxtailplank.job.JournalRecord.JobsStarted;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.JournalRecord.RunsEndedWithWorker;
import org.foxtailplank.job.JournalRecord.RunsStarted;
import org.foxtailplank.job.JournalRecord.StartedRun;
import org.foxtailplank.job.JournalRecord.UnknownJobsCancelled;
import org.foxtailplank.job.JournalRecord.VmRebooted;
import org.foxtailplank.job.JournalRecord.WaveCompleted;
import org.foxtailplank.job.JournalRecord.WaveDue;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.node.journal.JournalPartitions;
import org.foxtailplank.port.LogPartition;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against facts that no node knows after the store was unavailable, or all nodes were lost,
 * for longer than records are retained.
 */
public class JournalOutageTest extends JournalRetentionTestBase {
    /** Stretches in which nothing is stored, one after the other, in milliseconds. */
    @DataProvider
    public Object[][] outages() {
        return new Object[][] {
            {List.of(16_000L)},
            {List.of(25_000L)},
            {List.of(9500L, 9500L, 9500L)},
            {List.of(14_000L, 21_000L, 14_000L, 14_000L)},
            {List.of(90_000L)}
        };
    }

    /** Guards against accepted jobs that are unknown after outages longer than the retention. */
    @Test(dataProvider = "outages")
    public void everyJobIsKnownAfterOutagesOfTheStoreAndOfAllNodes(List<Long> outagesMs) {
        start(20_000);
        pass(40_000, 10.5);
        for (long ms : outagesMs) {
            loseAllNodes(ms);
            assertNothingIsLost("after an outage of " + ms + " ms");
            pass(1500, 10.5);
        }

        assertNothingIsLost("at the end");
    }

    private static TaskName task(String job) {
        return new TaskName(job, 0, 0, 0);
    }

    private static StartedRun start(String job, CrashHistory crashes) {
        return new StartedRun(task(job), 3, new WorkerIncarnation("w1", 77), crashes);
    }

    private void storeFactsAboutJobs() {
        List<String> ids = List.of("aa", "bb", "cc", "dd");
        for (String id : ids) {
            mOwner.mJournal.storeHandedOver(
                    OwnerFleetTestBase.job(id, RunMode.PLAIN, mTime.wallMs()), o -> {});
        }
        pass(100, 0);
        CrashHistory crashes = new CrashHistory(2, 30, 510);
        List.of(
                        new RunsStarted(List.of(start("aa", crashes), start("bb", crashes))),
                        new JobsStarted(List.of("aa", "bb")),
                        new RunsEndedWithWorker(List.of(start("bb", crashes))),
                        new RunsEnded(
                                List.of(
                                        new EndedRun(task("aa"), 1, RunOutcome.FAILED, 5),
                                        new EndedRun(task("cc"), 1, RunOutcome.STOPPED, 5))),
                        new JobGivenUp("dd", mTime.wallMs()))
                .forEach(r -> mOwner.mJournal.store(r, () -> {}));
    }

    @DataProvider
    public Object[][] agesOfFacts() {
        return new Object[][] {{100}, {9000}, {30_000}};
    }

    /** Guards against a second run of a task that runs, and against forgotten ends and crashes. */
    @Test(dataProvider = "agesOfFacts")
    public void startsEndsAndCrashesAreKnownAfterAnOutageLongerThanTheRetention(long ageMs) {
        start(20_000);
        storeFactsAboutJobs();
        pass(ageMs, 10.5);
        Map<String, JournalRecord> before = new LinkedHashMap<>();
        for (String id : List.of("aa", "bb", "cc")) {
            before.put(id, mOwner.registry().job(id).orElseThrow().snapshot());
        }
        loseAllNodes(45_000);

        before.forEach(
                (id, facts) ->
                        assertEquals(mOwner.registry().job(id).orElseThrow().snapshot(), facts));
        assertEquals(mOwner.registry().job("dd").orElseThrow().phase(), JobPhase.FAILED);
    }

    /**
     * Guards against a VM that is rebooted twice, and a wave whose deadline moves or that repeats.
     */
    @Test
    public void wavesAreKnownAfterAnOutageLongerThanTheRetention() {
        start(20_000);
        List.of(
                        new VmRebooted(1, "vm1"),
                        new WaveDue(1, 77),
                        new VmRebooted(2, "vm2"),
                        new WaveCompleted(2))
                .forEach(f -> mOwner.mJournal.store(f, () -> {}));
        pass(30_000, 1);
        loseAllNodes(45_000);
        pass(30_000, 1);
        loseAllNodes(45_000);

        assertEquals(mOwner.registry().rebooted(1), Set.of("vm1"));
        assertEquals(mOwner.registry().waveDueMs(1).orElseThrow(), 77L);
        assertTrue(mOwner.registry().isCompleted(2));
    }

    /** Guards against a late submission that runs, as its cancellation is unknown by then. */
    @Test
    public void anEarlyCancellationIsKnownAfterAnOutageLongerThanTheRetention() {
        start(20_000);
        CancelledId id = new CancelledId("aa", "", "queue", mTime.wallMs());
        mOwner.mJournal.store(new UnknownJobsCancelled(List.of(id)), () -> {});
        pass(3000, 1);
        loseAllNodes(45_000);
        mOwner.mJournal.storeHandedOver(
                OwnerFleetTestBase.job("aa", RunMode.PLAIN, mTime.wallMs()), o -> {});
        pass(100, 0);

        assertEquals(mOwner.registry().job("aa").orElseThrow().phase(), JobPhase.CANCELLED);
    }

    /** Guards against ended jobs that come back, as their ends are removed before them. */
    @Test
    public void noForgottenJobComesBackWhenAPartitionIsUnavailableDuringRemovals() {
        start(20_000);
        List<LogPartition> partitions = JournalPartitions.all(3);
        for (int i = 0; i < 24; i++) {
            LogPartition away = partitions.get(i % 2);
            mLog.setUnavailable(away, true);
            pass(7000, 0);
            mLog.setUnavailable(away, false);
            pass(3000, 15);
            Node node = new Node();
            node.read();
            node.registry().removeExpired(mTime.wallMs());
            for (JobProgress job : node.registry().jobs()) {
                String id = job.definition().id();
                assertEquals(job.phase(), mPhases.get(id), "job " + id + " in round " + i);
            }
            assertNothingIsLost("in round " + i, node);
        }
    }

    /** Guards against a journal that grows until the store accepts no record any more. */
    @Test
    public void recordsOfForgottenJobsAreRemoved() {
        start(20_000);
        pass(400_000, 10.5);
        mRunning.clear();
        pass(2 * ENDED_RETENTION_MS + 20_000, 0);
        long standing = mJobs / STANDING_INTERVAL;

        assertTrue(mOwner.registry().jobs().size() <= standing + 60);
        assertTrue(
                mOwner.mContext.reader().retained().count() <= standing + 60,
                mOwner.mContext.reader().retained().count() + " records are retained");
    }

    /** Guards against owners that copy what hasn't changed. */
    @Test
    public void jobsWithoutNewFactsAreNotCopiedAgain() {
        start(20_000);
        storeFactsAboutJobs();
        pass(30_000, 0);
        long copies = mOwner.mContext.metrics().counter("journal_rewritten_jobs").getCount();
        pass(60_000, 0);

        assertTrue(copies >= 2);
        assertEquals(
                mOwner.mContext.metrics().counter("journal_rewritten_jobs").getCount(), copies);
    }

    /** Guards against a node that answers for a journal of which it has read only a part. */
    @Test
    public void aNodeIsNotCaughtUpUntilItHasReadTheRetainedRecords() {
        start(20_000);
        pass(10_000, 10.5);
        mOwner.mEnded = true;
        mTime.advance(45_000);
        mLog.setAnswersNewest(false);
        Node node = new Node();
        List<Boolean> results = new ArrayList<>();
        node.mContext.reader().refresh(results::add);
        mLog.deliverAnswers();
        assertEquals(results, List.of(false));
        assertFalse(node.mContext.reader().isCaughtUp());
        mLog.setAnswersNewest(true);
        node.mContext.reader().refresh(results::add);
        mLog.deliverAnswers();

        assertEquals(results, List.of(false, true));
        assertNothingIsLost("after the second read", node);
    }
}
