package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.CrashHistory;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.CancelledId;
import org.foxtailplank.job.JournalRecord.EndedRun;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.job.JournalRecord.JobGivenUp;
import org.foxtailplank.job.JournalRecord.JobSnapshot;
import org.foxtailplank.job.JournalRecord.JobsStarted;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.JournalRecord.RunsEndedWithWorker;
import org.foxtailplank.job.JournalRecord.RunsStarted;
import org.foxtailplank.job.JournalRecord.StartedRun;
import org.foxtailplank.job.JournalRecord.UnknownJobsCancelled;
import org.foxtailplank.job.JournalRecord.VmRebooted;
import org.foxtailplank.job.JournalRecord.WaveCompleted;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.Timetable;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.node.journal.JournalPartitions;
import org.foxtailplank.port.LogPartition;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against confirmed facts that are removed from the journal while they are needed, under
 * random facts, losses of owners, outages and partitions that are unavailable.
 */
public class JournalExplorationTest extends JournalRetentionTestBase {
    private static final int SEEDS = 40;
    private static final int STEPS = 250;
    private static final int TASKS = 4;
    private static final int WAVES = 4;
    private static final long LONGEST_PASS_MS = 3000;
    private static final long LONGEST_OUTAGE_MS = 50_000;

    private final List<String> mIds = new ArrayList<>();
    private final Map<TaskName, Integer> mAttempts = new HashMap<>();
    private final List<StartedRun> mRunning = new ArrayList<>();
    private Random mRandom;

    /** All facts that the store has confirmed. */
    private JobRegistry mConfirmed;

    @DataProvider
    public Object[][] seeds() {
        return IntStream.rangeClosed(1, SEEDS)
                .mapToObj(s -> new Object[] {s})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void everyConfirmedFactIsKnownToANodeThatStartsLater(int seed) {
        mRandom = new Random(seed);
        mConfirmed = new JobRegistry(ENDED_RETENTION_MS);
        mIds.clear();
        mAttempts.clear();
        mRunning.clear();
        start(20_000);
        for (int step = 0; step < STEPS; step++) {
            step();
            mConfirmed.removeExpired(mTime.wallMs());
            if (step % 10 == 0) {
                setAllAvailable();
                assertConfirmedFactsAreKnown("seed " + seed + ", step " + step);
            }
        }
        assertTrue(mConfirmed.jobs().size() > 5);
    }

    private void step() {
        int kind = mRandom.nextInt(100);
        if (kind < 25) {
            acceptJob();
        } else if (kind < 80) {
            store(drawFact());
        } else if (kind < 84) {
            mLog.setUnavailable(partition(), true);
        } else if (kind < 90) {
            setAllAvailable();
        } else if (kind < 93) {
            mLog.deliverAnswers();
            replaceOwner();
        } else if (kind < 95) {
            setAllAvailable();
            mLog.deliverAnswers();
            loseAllNodes(mRandom.nextLong(LONGEST_OUTAGE_MS));
        }
        pass(mRandom.nextLong(LONGEST_PASS_MS), 0);
    }

    private LogPartition partition() {
        return JournalPartitions.all(3).get(mRandom.nextInt(3));
    }

    private void setAllAvailable() {
        JournalPartitions.all(3).forEach(p -> mLog.setUnavailable(p, false));
    }

    private void store(JournalRecord record) {
        mOwner.mJournal.store(record, () -> mConfirmed.apply(record));
    }

    private void acceptJob() {
        String id = String.format("%016x", mIds.size() + 1);
        mIds.add(id);
        RunMode mode =
                mRandom.nextInt(8) == 0
                        ? new RunMode(false, true, false, false, 0, 0)
                        : RunMode.PLAIN;
        TaskStep step =
                new TaskStep(
                        TASKS,
                        Resources.of(1, 1, 0),
                        500,
                        List.of(),
                        PlacementConstraints.ANYWHERE,
                        mode);
        store(
                new JobAccepted(
                        new JobDefinition(
                                id,
                                "queue",
                                "service",
                                "text",
                                List.of(step),
                                Timetable.AT_ONCE,
                                new QueuePolicy(0, 3, 1.6, 600, Optional.empty()),
                                mTime.wallMs(),
                                0,
                                "")));
    }

    private String anyId() {
        return mIds.isEmpty() ? "none" : mIds.get(mRandom.nextInt(mIds.size()));
    }

    /** Draws the next start of a task. */
    private StartedRun nextStart() {
        TaskName task = new TaskName(anyId(), 0, 0, mRandom.nextInt(TASKS));
        int attempt = mAttempts.merge(task, 1, Integer::sum);
        CrashHistory crashes = attempt == 2 ? new CrashHistory(1, 20, 300) : CrashHistory.NONE;
        StartedRun start = new StartedRun(task, attempt, new WorkerIncarnation("w", 7), crashes);
        mRunning.add(start);
        return start;
    }

    /** Draws some of the runs that have started and not ended; they end. */
    private List<StartedRun> takeRunning() {
        List<StartedRun> taken = new ArrayList<>();
        for (int i = 0; i < 3 && !mRunning.isEmpty(); i++) {
            taken.add(mRunning.remove(mRandom.nextInt(mRunning.size())));
        }
        return taken;
    }

    private EndedRun ended(StartedRun run) {
        RunOutcome[] outcomes = {RunOutcome.DONE, RunOutcome.FAILED, RunOutcome.STOPPED};
        RunOutcome outcome = outcomes[mRandom.nextInt(outcomes.length)];
        return new EndedRun(run.task(), run.attempt(), outcome, mTime.wallMs());
    }

    private JournalRecord drawFact() {
        return switch (mRandom.nextInt(9)) {
            case 0, 1 -> new RunsStarted(List.of(nextStart(), nextStart(), nextStart()));
            case 2, 3 -> new RunsEnded(takeRunning().stream().map(this::ended).toList());
            case 4 -> new RunsEndedWithWorker(takeRunning());
            case 5 -> new JobsStarted(List.of(anyId(), anyId()));
            case 6 -> drawEnd(anyId());
            case 7 ->
                    new UnknownJobsCancelled(
                            List.of(
                                    new CancelledId(
                                            String.format("%016x", mIds.size() + 2),
                                            "",
                                            "queue",
                                            mTime.wallMs())));
            default ->
                    mRandom.nextInt(4) == 0
                            ? new WaveCompleted(mRandom.nextInt(WAVES))
                            : new VmRebooted(mRandom.nextInt(WAVES), "vm" + mRandom.nextInt(9));
        };
    }

    private JournalRecord drawEnd(String id) {
        return id.endsWith("7")
                ? new JobGivenUp(id, mTime.wallMs())
                : new JobCancelled(id, mTime.wallMs());
    }

    private void assertConfirmedFactsAreKnown(String when) {
        mLog.deliverAnswers();
        Node node = new Node();
        node.read();
        node.registry().removeExpired(mTime.wallMs());
        for (JobProgress expected : mConfirmed.jobs()) {
            String id = expected.definition().id();
            JobProgress known =
                    node.registry()
                            .job(id)
                            .orElseThrow(() -> new AssertionError(when + ": no job " + id));
            assertEquals(known.phase(), expected.phase(), when + ", job " + id);
            if (!expected.phase().isFinal()) {
                assertSameFacts(known.snapshot(), expected.snapshot(), when + ", job " + id);
            }
        }
        assertEquals(
                node.registry().earlyCancellations().count(),
                mConfirmed.earlyCancellations().count(),
                when);
        for (long wave = 0; wave < WAVES; wave++) {
            assertEquals(node.registry().isCompleted(wave), mConfirmed.isCompleted(wave), when);
            if (!mConfirmed.isCompleted(wave)) {
                assertEquals(node.registry().rebooted(wave), mConfirmed.rebooted(wave), when);
            }
        }
    }

    private static void assertSameFacts(JobSnapshot known, JobSnapshot expected, String when) {
        assertEquals(known.definition(), expected.definition(), when);
        assertEquals(sorted(known.starts()), sorted(expected.starts()), when);
        assertEquals(sorted(known.ends()), sorted(expected.ends()), when);
        assertEquals(known.doneRuns(), expected.doneRuns(), when);
        assertEquals(known.started(), expected.started(), when);
        assertEquals(sorted(known.endedWithWorker()), sorted(expected.endedWithWorker()), when);
    }

    private static List<String> sorted(List<?> facts) {
        return facts.stream().map(Object::toString).sorted().toList();
    }
}
