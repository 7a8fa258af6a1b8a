package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.foxtailplank.job.JobPhase;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.job.JournalRecord.EndedRun;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.node.ExpiringLog;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.NodeSettings.JournalLimits;
import org.foxtailplank.node.journal.JournalPartitions;

/** Owners that succeed each other on a log whose records expire, and the jobs that they run. */
abstract class JournalRetentionTestBase {
    static final long STEP_MS = 50;
    static final long ENDED_RETENTION_MS = 120_000;
    static final long RUN_MS = 5000;

    /** Every so many jobs one is standing. */
    static final int STANDING_INTERVAL = 40;

    FakeTime mTime;
    FakeSharedLog mLog;
    long mRetentionMs;
    ExpiringLog mExpiring;
    Node mOwner;
    long mToken;
    int mJobs;
    final Map<String, JobPhase> mPhases = new LinkedHashMap<>();
    final Map<String, Long> mEndedMs = new LinkedHashMap<>();
    final Deque<RunningJob> mRunning = new ArrayDeque<>();

    record RunningJob(String id, long endMs) {}

    /** A node that has just started and reads the journal; the owner also writes to it. */
    final class Node {
        final OwnerContext mContext =
                FakeOwnerContext.withJournal(
                        FakeOwnerContext.of(mTime, mExpiring),
                        new JournalLimits(mRetentionMs, ENDED_RETENTION_MS, 3));
        final OwnerJournal mJournal = new OwnerJournal(mContext, ++mToken, () -> {});
        boolean mEnded;

        {
            mContext.reader().readEarlier(JournalPartitions.earlier(3));
        }

        void read() {
            mContext.reader().refresh(read -> {});
            mLog.deliverAnswers();
        }

        void takeOver() {
            mJournal.raiseEpoch(() -> {});
            mLog.deliverAnswers();
            read();
            new JournalCompactor(mContext, mJournal, () -> mEnded).start();
        }

        JobRegistry registry() {
            return mContext.reader().registry();
        }
    }

    void start(long retentionMs) {
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

    void replaceOwner() {
        mOwner.mEnded = true;
        mOwner.mJournal.close();
        mOwner = new Node();
        mOwner.takeOver();
    }

    void accept() {
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

    void endDueJobs() {
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

    void pass(long ms, double jobsPerS) {
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
    void assertNothingIsLost(String when) {
        Node node = new Node();
        node.read();
        assertNothingIsLost(when, node);
    }

    void assertNothingIsLost(String when, Node node) {
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

    /** Ends the owner, and begins with another one when nothing was stored for this long. */
    void loseAllNodes(long ms) {
        mOwner.mEnded = true;
        mOwner.mJournal.close();
        mTime.advance(ms);
        mOwner = new Node();
        mOwner.takeOver();
    }
}
