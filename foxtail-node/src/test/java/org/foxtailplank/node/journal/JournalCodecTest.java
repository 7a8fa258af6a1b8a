package org.foxtailplank.node.journal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.AdviceTiming;
import org.foxtailplank.job.CrashHistory;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JobPhase;
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
import org.foxtailplank.job.JournalRecord.JobsStarted;
import org.foxtailplank.job.JournalRecord.OwnerHeartbeat;
import org.foxtailplank.job.JournalRecord.OwnerResigned;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.JournalRecord.RunsEndedWithWorker;
import org.foxtailplank.job.JournalRecord.RunsStarted;
import org.foxtailplank.job.JournalRecord.StartedRun;
import org.foxtailplank.job.JournalRecord.UnknownJobsCancelled;
import org.foxtailplank.job.JournalRecord.VmRebooted;
import org.foxtailplank.job.JournalRecord.WaveCompleted;
import org.foxtailplank.job.JournalRecord.WaveDue;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.RunRange;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.Timetable;
import org.foxtailplank.job.WorkerIncarnation;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that journal records survive encoding and decoding. */
public class JournalCodecTest {
    private static final String JOB_ID = "00000000000000ab";
    private static final String HIGH_ID = "ffffffffffffffab";
    private static final TaskName TASK = new TaskName("aa", 1, 2, 3);
    private static final EndedRun END = new EndedRun(TASK, 4, RunOutcome.FAILED, 5);
    private static final DoneRuns DONE_RUNS =
            new DoneRuns(List.of(new RunRange(0, 6), new RunRange(8, 8)), 9);
    private static final StartedRun START =
            new StartedRun(TASK, 4, new WorkerIncarnation("w1", 1_733_270_000_000L));
    private static final StartedRun SUSPECT =
            new StartedRun(
                    TASK, 4, WorkerIncarnation.ofUnknownStart("w1"), new CrashHistory(2, -30, 510));
    private static final StartedRun REPEATED =
            new StartedRun(
                    TASK,
                    4,
                    WorkerIncarnation.ofUnknownStart("w1"),
                    new CrashHistory(4, 170, List.of(56L, 412L, 56L)));

    private static JobDefinition definition() {
        return definition("");
    }

    private static JobDefinition definition(String organisation) {
        TaskStep step =
                new TaskStep(
                        2,
                        new Resources(500, 1L << 33, 1),
                        700,
                        List.of(0, 1),
                        new PlacementConstraints(true, true, "b", "r1", 3),
                        new RunMode(true, true, true, true, 90, 2));
        TaskStep earlier =
                new TaskStep(
                        1,
                        new Resources(100, 1, 0),
                        5,
                        List.of(),
                        PlacementConstraints.ANYWHERE,
                        RunMode.PLAIN);
        List<TaskStep> steps = List.of(earlier, earlier, step);
        QueuePolicy policy =
                new QueuePolicy(1, 3, 1.6, 600, Optional.of(new AdviceTiming(5, 2, 3000)));
        return new JobDefinition(
                "aa",
                "q",
                "s",
                "text",
                steps,
                new Timetable(7, 8, 9),
                policy,
                99,
                12,
                organisation);
    }

    @DataProvider
    public Object[][] records() {
        return new Object[][] {
            {new JobAccepted(definition())},
            {new JobAccepted(definition("org"))},
            {
                new JobSnapshot(
                        definition(),
                        List.of(START),
                        List.of(END),
                        DONE_RUNS,
                        77,
                        0,
                        true,
                        List.of(SUSPECT, REPEATED))
            },
            {
                new JobSnapshot(
                        definition(),
                        List.of(SUSPECT),
                        List.of(END),
                        DoneRuns.NONE,
                        0,
                        88,
                        false,
                        List.of())
            },
            {new JobsEnded(List.of(), 3)},
            {
                new UnknownJobsCancelled(
                        List.of(
                                new CancelledId("aa", "", "q", 5),
                                new CancelledId("bb", "org", "r", 6)))
            },
            {
                new JobsEnded(
                        List.of(
                                new EndedJob("aa", "q", "org", JobPhase.FAILED, 90, 120),
                                new EndedJob(HIGH_ID, "q", "", JobPhase.COMPLETED, 99, 98),
                                new EndedJob(JOB_ID, "q", "", JobPhase.COMPLETED, 5, 1L << 50)),
                        7)
            },
            {new JobCancelled("aa", 5)},
            {new JobGivenUp("aa", 5)},
            {new RunsStarted(List.of(SUSPECT))},
            {new RunsStarted(List.of(REPEATED))},
            {new RunsEndedWithWorker(List.of(START, SUSPECT))},
            {new RunsStarted(List.of(START, START))},
            {new RunsEnded(List.of(END))},
            {new JobsStarted(List.of("aa", "bb"))},
            {new OwnerHeartbeat(3, "10.0.0.1:9", 400)},
            {new OwnerResigned(3, "n", false)},
            {new OwnerResigned(4, "n", true)},
            {new VmRebooted(1, "vm")},
            {new WaveDue(1, 2)},
            {new WaveCompleted(1)},
        };
    }

    @Test(dataProvider = "records")
    public void aRecordRoundTrips(JournalRecord record) throws IOException {
        assertEquals(JournalCodec.decode(JournalCodec.encode(record)), Optional.of(record));
    }

    /** A start as an earlier version wrote it, which knew the age of one crash at most. */
    private static byte[] earlierStart(int lastAgeMs) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        CodedOutputStream out = CodedOutputStream.newInstance(bytes);
        JournalCodec.writeMessage(
                out,
                4,
                runs ->
                        JournalCodec.writeMessage(
                                runs,
                                1,
                                o -> {
                                    o.writeString(1, TASK.job());
                                    o.writeInt32(2, TASK.run());
                                    o.writeInt32(3, TASK.step());
                                    o.writeInt32(4, TASK.index());
                                    o.writeInt32(5, 4);
                                    o.writeString(6, "w1");
                                    o.writeInt32(7, 2);
                                    o.writeInt32(8, -30);
                                    o.writeInt32(9, lastAgeMs);
                                }));
        out.flush();
        return bytes.toByteArray();
    }

    /** Guards against starts of earlier versions that are lost with an upgrade. */
    @Test
    public void aStartOfAnEarlierVersionIsRead() throws IOException {
        StartedRun unknown =
                new StartedRun(
                        TASK,
                        4,
                        WorkerIncarnation.ofUnknownStart("w1"),
                        new CrashHistory(2, -30, List.of()));

        assertEquals(
                JournalCodec.decode(earlierStart(510)),
                Optional.of(new RunsStarted(List.of(SUSPECT))));
        for (int ageMs : new int[] {0, -1}) {
            assertEquals(
                    JournalCodec.decode(earlierStart(ageMs)),
                    Optional.of(new RunsStarted(List.of(unknown))));
        }
    }

    @Test
    public void aRecordOfAnUnknownKindIsSkipped() throws IOException {
        byte[] kind99 = {(byte) 0x9a, 0x06, 0x01, 0x00};

        assertTrue(JournalCodec.decode(kind99).isEmpty());
    }
}
