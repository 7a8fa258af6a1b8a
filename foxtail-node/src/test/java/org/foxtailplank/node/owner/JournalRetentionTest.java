package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.foxtailplank.job.JobPhase;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.CancelledId;
import org.foxtailplank.job.JournalRecord.EndedRun;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.JournalRecord.UnknownJobsCancelled;
import org.foxtailplank.job.JournalRecord.VmRebooted;
import org.foxtailplank.job.JournalRecord.WaveCompleted;
import org.foxtailplank.job.JournalRecord.WaveDue;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.node.ExpiringLog;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.NodeSettings.JournalLimits;
import org.foxtailplank.node.journal.JournalPartitions;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against jobs and waves that no node knows once every node has been restarted, as their
 * records in the journal have expired.
 */
public class JournalRetentionTest {
    private static final long STEP_MS = 50;
    private static final long ENDED_RETENTION_MS = 120_000;
    private static final long RUN_MS = 5000;

    /** Every so many jobs one is standing. */
    private static final int STANDING_INTERVAL = 40;

    private FakeTime mTime;
    private FakeSharedLog mLog;
    private long mRetentionMs;
    private ExpiringLog mExpiring;
    private Node mOwner;
    private long mToken;
    private int mJobs;
    private final Map<String, JobPhase> mPhases = new LinkedHashMap<>();
    private final Map<String, Long> mEndedMs = new LinkedHashMap<>();
    private final Deque<RunningJob> mRunning = new ArrayDeque<>();

    private record RunningJob(String id, long endMs) {}

    /** A node that has just started and reads the journal; the owner also writes to it. */
    private final class Node {
        final OwnerContext mContext =
                FakeOwnerContext.withJournal(
                        FakeOwnerContext.of(mTime, mExpiring),
                        new JournalLimits(mRetentionMs, ENDED_RETENTION_MS, 3));
        final OwnerJournal mJournal = new OwnerJournal(mContext, ++mToken, () -> {});
        boolean mEnded;

        void read() {
            mContext.reader().refresh(read -> {});
            mLog.deliverAnswers();
        }

        void takeOver() {
            mJournal.raiseEpoch(() -> {});
            mLog.deliverAnswers();
            read();
            new JournalRefresher(mContext, mJournal, () -> mEnded).start();
        }

        JobRegistry registry() {
            return mContext.reader().registry();
        }
    }

    private void start(long retentionMs) {
        mTime = new FakeTime();
        mLog = new FakeSharedLog();
        mRetentionMs = retentionMs;
        mExpiring = new ExpiringLog(mLog, mTime, retentionMs);
        mToken = 0;
        mJobs = 0;
        mPhases.clear();
        mEndedMs.clear();
        mRunning.clear();
        mOwner = new Node();
        mOwner.takeOver();
    }

    private void replaceOwner() {
        mOwner.mEnded = true;
        mOwner.mJournal.close();
        mOwner = new Node();
        mOwner.takeOver();
    }

    private void accept() {
        mJobs++;
        String id = String.format("%016x", mJobs);
        boolean standing = mJobs % STANDING_INTERVAL == 0;
        byte[] record =
                standing
                        ? OwnerFleetTestBase.job(id, new RunMode(false, true, false, false, 0, 0))
                        : OwnerFleetTestBase.job(id, RunMode.PLAIN, mTime.wallMs());
        mExpiring.append(JournalPartitions.PRIMARY, List.of(record), r -> {});
        mPhases.put(id, JobPhase.QUEUED);
        if (!standing) {
            mRunning.add(new RunningJob(id, mTime.nowMs() + RUN_MS));
        }
    }

    private void endDueJobs() {
        while (!mRunning.isEmpty() && mRunning.peek().endMs() <= mTime.nowMs()) {
            String id = mRunning.poll().id();
            boolean cancelled = id.endsWith("7");
            EndedRun end =
                    new EndedRun(new TaskName(id, 0, 0, 0), 1, RunOutcome.DONE, mTime.wallMs());
            mOwner.mJournal.store(
                    cancelled ? new JobCancelled(id, mTime.wallMs()) : new RunsEnded(List.of(end)),
                    () -> {});
            mPhases.put(id, cancelled ? JobPhase.CANCELLED : JobPhase.COMPLETED);
            mEndedMs.put(id, mTime.nowMs());
        }
    }

    private void pass(long ms, double jobsPerS) {
        long end = mTime.nowMs() + ms;
        long first = mTime.nowMs();
        int accepted = 0;
        while (mTime.nowMs() < end) {
            mTime.advance(STEP_MS);
            for (; accepted < (mTime.nowMs() - first) * jobsPerS / 1000; accepted++) {
                accept();
            }
            endDueJobs();
            mLog.deliverAnswers();
            mOwner.read();
            mOwner.registry().removeExpired(mTime.wallMs());
        }
    }

    /** Checks that a node which starts now knows the state of each job that callers may query. */
    private void assertNothingIsLost(String when) {
        Node node = new Node();
        node.read();
        assertNothingIsLost(when, node);
    }

    private void assertNothingIsLost(String when, Node node) {
        List<String> lost = new ArrayList<>();
        int checked = 0;
        for (Map.Entry<String, JobPhase> job : mPhases.entrySet()) {
            Long endedMs = mEndedMs.get(job.getKey());
            if (endedMs != null && endedMs + ENDED_RETENTION_MS <= mTime.nowMs()) {
                continue;
            }
            checked++;
            JobPhase known = node.registry().job(job.getKey()).map(j -> j.phase()).orElse(null);
            if (known != job.getValue()) {
                lost.add(job.getKey() + " is " + job.getValue() + ", and known as " + known);
            }
        }
        assertEquals(
                lost.size(), 0, when + ", of " + checked + ": " + lost.stream().limit(3).toList());
    }

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
