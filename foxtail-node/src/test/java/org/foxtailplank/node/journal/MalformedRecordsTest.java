package org.foxtailplank.node.journal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.CrashHistory;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JobPhase;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.CancelledId;
import org.foxtailplank.job.JournalRecord.DoneRuns;
import org.foxtailplank.job.JournalRecord.EndedJob;
import org.foxtailplank.job.JournalRecord.EndedRun;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.job.JournalRecord.JobGivenUp;
import org.foxtailplank.job.JournalRecord.JobSnapshot;
import org.foxtailplank.job.JournalRecord.JobsEnded;
import org.foxtailplank.job.JournalRecord.OwnerHeartbeat;
import org.foxtailplank.job.JournalRecord.OwnerResigned;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.JournalRecord.RunsEndedWithWorker;
import org.foxtailplank.job.JournalRecord.RunsStarted;
import org.foxtailplank.job.JournalRecord.StartedRun;
import org.foxtailplank.job.JournalRecord.UnknownJobsCancelled;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.RunRange;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.Timetable;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.log.NodeLog;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against malformed journal records that stop the readers of all nodes with an unchecked
 * exception, also after a restart.
 */
public class MalformedRecordsTest {
    private static final String JOB = "00000000000000aa";
    private static final TaskName TASK = new TaskName(JOB, 0, 0, 1);
    private static final EndedRun END = new EndedRun(TASK, 4, RunOutcome.FAILED, 5);
    private static final DoneRuns DONE_RUNS =
            new DoneRuns(List.of(new RunRange(0, 6), new RunRange(8, 8)), 9);
    private static final StartedRun START =
            new StartedRun(TASK, 4, WorkerIncarnation.ofUnknownStart("w1"));
    private static final StartedRun SUSPECT =
            new StartedRun(
                    TASK, 4, WorkerIncarnation.ofUnknownStart("w1"), new CrashHistory(2, 30, 0));
    private static final int HUGE_COUNT = Integer.MAX_VALUE;
    private static final int NESTED_GROUPS = 60_000;
    private static final int MUTATIONS = 200_000;
    private static final long SEED = 20;

    /** Encodes a message with arbitrary protobuf fields. */
    private static byte[] encodeMessage(JournalCodec.FieldWriter fields) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        CodedOutputStream out = CodedOutputStream.newInstance(bytes);
        try {
            fields.write(out);
            out.flush();
        } catch (IOException e) {
            throw new IllegalStateException("unexpected I/O error on an in-memory stream", e);
        }
        return bytes.toByteArray();
    }

    private static byte[] field(int field, JournalCodec.FieldWriter fields) {
        return encodeMessage(o -> o.writeBytes(field, ByteString.copyFrom(encodeMessage(fields))));
    }

    private static byte[] accepted(JobDefinition definition) {
        return JournalCodec.encode(new JobAccepted(definition));
    }

    private static JobDefinition definition(Timetable timetable, TaskStep... steps) {
        QueuePolicy policy = new QueuePolicy(0, 2, 1.6, 600, Optional.empty());
        return new JobDefinition(
                JOB, "q", "s", "text", List.of(steps), timetable, policy, 99, 12, "");
    }

    private static TaskStep step(int tasks, Integer... dependsOn) {
        return new TaskStep(
                tasks,
                new Resources(500, 1, 0),
                700,
                List.of(dependsOn),
                PlacementConstraints.ANYWHERE,
                RunMode.PLAIN);
    }

    private static JobDefinition validDefinition() {
        return definition(Timetable.AT_ONCE, step(2), step(3, 0));
    }

    @DataProvider
    public Object[][] malformedRecords() {
        byte[] endWithUnknownOutcome = field(3, o -> o.writeBytes(1, end(99)));
        byte[] endWithNegativeOutcome = field(3, o -> o.writeBytes(1, end(-1)));
        byte[] negativeCrashes = field(4, o -> o.writeBytes(1, startWithCrashes(-1)));
        byte[] emptyJob = field(1, o -> {});
        byte[] jobWithOnlyAnId = field(1, o -> o.writeString(1, JOB));
        byte[] jobWithNumericId = field(1, o -> o.writeInt64(1, 7));
        byte[] snapshotWithoutDefinition = field(9, o -> o.writeInt64(4, 7));
        byte[] nestedGroups = field(1, MalformedRecordsTest::writeNestedGroups);
        byte[] truncated = {0x0a, 0x7f, 1};
        byte[] numberInsteadOfMessage = {0x08, 0x05};
        return new Object[][] {
            {"an end with an unknown outcome", endWithUnknownOutcome},
            {"an end with a negative outcome", endWithNegativeOutcome},
            {"a start with a negative number of crashes", negativeCrashes},
            {"an empty job", emptyJob},
            {"a job with only an ID", jobWithOnlyAnId},
            {"a job with a number as its ID", jobWithNumericId},
            {"a job snapshot without a definition", snapshotWithoutDefinition},
            {"deeply nested groups", nestedGroups},
            {"a truncated record", truncated},
            {"a number instead of a message", numberInsteadOfMessage},
            {"no step", accepted(definition(Timetable.AT_ONCE))},
            {"no task", accepted(definition(Timetable.AT_ONCE, step(0)))},
            {"a negative number of tasks", accepted(definition(Timetable.AT_ONCE, step(-1)))},
            {"too many tasks", accepted(definition(Timetable.AT_ONCE, step(HUGE_COUNT), step(9)))},
            {"a step that depends on itself", accepted(definition(Timetable.AT_ONCE, step(1, 0)))},
            {
                "a step that depends on a negative step",
                accepted(definition(Timetable.AT_ONCE, step(1), step(1, -1)))
            },
            {
                "a step that depends on a later one",
                accepted(definition(Timetable.AT_ONCE, step(1), step(1, 2)))
            },
            {"no run", accepted(definition(new Timetable(1, 1, 0), step(1)))},
            {"a negative number of runs", accepted(definition(new Timetable(1, 1, -3), step(1)))},
            {"too many runs", accepted(definition(new Timetable(1, 1, HUGE_COUNT), step(9)))},
        };
    }

    private static void writeNestedGroups(CodedOutputStream out) throws IOException {
        for (int i = 0; i < NESTED_GROUPS; i++) {
            out.writeTag(20, WireFormat.WIRETYPE_START_GROUP);
        }
    }

    private static ByteString end(int outcome) {
        return ByteString.copyFrom(
                encodeMessage(
                        o -> {
                            o.writeString(1, JOB);
                            o.writeInt32(6, outcome);
                        }));
    }

    private static ByteString startWithCrashes(int crashes) {
        return ByteString.copyFrom(
                encodeMessage(
                        o -> {
                            o.writeString(1, JOB);
                            o.writeInt32(7, crashes);
                        }));
    }

    @Test(dataProvider = "malformedRecords")
    public void aMalformedRecordIsSkippedAndTheOthersAreApplied(
            String malformation, byte[] malformed) {
        FakeTime time = new FakeTime();
        FakeSharedLog log = new FakeSharedLog();
        JobRegistry registry = new JobRegistry(120_000);
        List<JournalRecord> applied = new ArrayList<>();
        JournalReader reader =
                new JournalReader(
                        log,
                        JournalPartitions.all(1),
                        time,
                        time,
                        NodeLog.silent(time),
                        registry,
                        (record, job) -> applied.add(record));
        List<byte[]> records = log.records(JournalPartitions.PRIMARY);
        records.add(accepted(validDefinition()));
        records.add(malformed);
        records.add(new byte[0]);
        records.add(JournalCodec.encode(new RunsStarted(List.of(START))));
        reader.follow();
        log.deliverAnswers();
        records.add(JournalCodec.encode(new JobCancelled(JOB, 7)));
        time.advance(1000);
        log.deliverAnswers();

        assertEquals(
                applied.size(),
                3,
                "the job, its start and its cancellation are applied despite " + malformation);
        assertEquals(registry.jobs().size(), 1);
        assertTrue(registry.job(JOB).get().endedMs() > 0);
    }

    @Test
    public void mutatedRecordsNeverCauseUncheckedExceptions() {
        // Up to three bytes of each record are overwritten, from a fixed seed.
        List<JournalRecord> valid =
                List.of(
                        new JobAccepted(validDefinition()),
                        new JobSnapshot(
                                validDefinition(),
                                List.of(START),
                                List.of(END),
                                DONE_RUNS,
                                0,
                                0,
                                true,
                                List.of(SUSPECT)),
                        new JobsEnded(
                                List.of(new EndedJob(JOB, "q", "o", JobPhase.FAILED, 3, 4)), 5),
                        new UnknownJobsCancelled(List.of(new CancelledId(JOB, "o", "q", 5))),
                        new JobCancelled(JOB, 5),
                        new JobGivenUp(JOB, 5),
                        new RunsStarted(List.of(START, START)),
                        new RunsEndedWithWorker(List.of(SUSPECT)),
                        new RunsEnded(List.of(END)),
                        new OwnerHeartbeat(3, "10.0.0.1:9", 400),
                        new OwnerResigned(3, "n", false));
        Random random = new Random(SEED);
        for (int i = 0; i < MUTATIONS; i++) {
            byte[] bytes = JournalCodec.encode(valid.get(random.nextInt(valid.size())));
            for (int m = random.nextInt(3); m >= 0; m--) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            }
            try {
                apply(JournalCodec.decode(bytes));
            } catch (IOException e) {
                assertTrue(e.getMessage() != null, "the exception has a message");
            } catch (RuntimeException e) {
                throw new AssertionError("seed " + SEED + ", mutation " + i, e);
            }
        }
    }

    /** Applies a record as every node does, and takes snapshots of its jobs as the owner does. */
    private static void apply(Optional<JournalRecord> record) {
        JobRegistry registry = new JobRegistry(120_000);
        registry.apply(new JobAccepted(validDefinition()));
        record.ifPresent(registry::apply);
        for (JobProgress job : registry.jobs()) {
            job.definition().criticalPathMs();
            job.snapshot();
        }
    }
}
