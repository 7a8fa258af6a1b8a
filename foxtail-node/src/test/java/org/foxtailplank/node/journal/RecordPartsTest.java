package org.foxtailplank.node.journal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.job.JournalRecord.EndedRun;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.JournalRecord.RunsStarted;
import org.foxtailplank.job.JournalRecord.StartedRun;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.Timetable;
import org.foxtailplank.job.WorkerIncarnation;
import org.testng.annotations.Test;

/** Tests that a record which is stored in parts has the same effect. */
public class RecordPartsTest {
    private static final int MAX_BYTES = 2000;
    private static final int TASKS = 300;
    private static final int RUNS = 400;

    private static JobDefinition definition() {
        TaskStep step =
                new TaskStep(
                        TASKS,
                        Resources.of(1, 1, 0),
                        1000,
                        List.of(),
                        PlacementConstraints.ANYWHERE,
                        RunMode.PLAIN);
        return new JobDefinition(
                "00000000000000aa",
                "queue",
                "surveys",
                "text",
                List.of(step),
                new Timetable(1, 1, RUNS),
                new QueuePolicy(0, 5, 1.6, 600, Optional.empty()),
                5,
                0,
                "");
    }

    private static TaskName task(int run, int index) {
        return new TaskName("00000000000000aa", run, 0, index);
    }

    private static StartedRun start(int run, int index) {
        return new StartedRun(
                task(run, index), 1, WorkerIncarnation.ofUnknownStart("worker-" + index));
    }

    @Test
    public void theStateOfAJobIsTheSameFromThePartsOfItsSnapshot() throws IOException {
        // Guards against a snapshot that the store refuses for good, as the job has many tasks.
        JobRegistry registry = new JobRegistry(1000);
        JobProgress job = registry.apply(new JobAccepted(definition())).orElseThrow();
        List<EndedRun> ends = new ArrayList<>();
        List<StartedRun> starts = new ArrayList<>();
        for (int index = 0; index < TASKS; index++) {
            starts.add(start(1, index));
            if (index % 2 == 0) {
                ends.add(new EndedRun(task(1, index), 1, RunOutcome.DONE, 9));
            } else {
                ends.add(new EndedRun(task(1, index), 1, RunOutcome.FAILED, 9));
            }
            for (int run = 3; run < RUNS; run += 2) {
                ends.add(new EndedRun(task(run, index), 1, RunOutcome.DONE, 9));
            }
        }
        registry.apply(new RunsStarted(starts));
        registry.apply(new RunsEnded(ends));

        List<byte[]> parts = RecordParts.encode(job.snapshot(), MAX_BYTES);
        Collections.shuffle(parts, new Random(1));
        JobRegistry replica = new JobRegistry(1000);
        for (byte[] part : parts) {
            assertTrue(part.length <= MAX_BYTES, part.length + " bytes");
            replica.apply(JournalCodec.decode(part).orElseThrow());
        }
        JobProgress restored = replica.job(job.definition().id()).orElseThrow();

        assertTrue(parts.size() > 10);
        assertEquals(restored.snapshot().doneRuns(), job.snapshot().doneRuns());
        assertEquals(sorted(restored.lastStarts()), sorted(job.lastStarts()));
        for (int index = 0; index < TASKS; index++) {
            assertEquals(restored.isDone(task(1, index)), index % 2 == 0);
            assertEquals(restored.failedAttempts(task(1, index)).size(), index % 2);
        }
    }

    private static List<String> sorted(List<StartedRun> starts) {
        return starts.stream().map(StartedRun::toString).sorted().toList();
    }

    @Test
    public void aRecordThatFitsIsNotDivided() throws IOException {
        // Guards against more records than are needed.
        RunsStarted record = new RunsStarted(List.of(start(0, 0), start(0, 1)));

        List<byte[]> parts = RecordParts.encode(record, MAX_BYTES);

        assertEquals(parts.size(), 1);
        assertEquals(JournalCodec.decode(parts.get(0)), Optional.of(record));
    }

    /** Guards against an endless division of a snapshot with one fact of each of two kinds. */
    @Test
    public void factsOfSeveralKindsAreDivided() throws IOException {
        JobRegistry registry = new JobRegistry(1000);
        JobProgress job = registry.apply(new JobAccepted(definition())).orElseThrow();
        registry.apply(new RunsStarted(List.of(start(1, 0))));
        List<EndedRun> ends = new ArrayList<>();
        for (int index = 0; index < TASKS; index++) {
            ends.add(new EndedRun(task(0, index), 1, RunOutcome.DONE, 9));
        }
        registry.apply(new RunsEnded(ends));
        List<byte[]> parts = RecordParts.encode(job.snapshot(), 10);
        JobRegistry replica = new JobRegistry(1000);
        for (byte[] part : parts) {
            replica.apply(JournalCodec.decode(part).orElseThrow());
        }
        JobProgress restored = replica.job(job.definition().id()).orElseThrow();

        assertEquals(parts.size(), 2);
        assertEquals(restored.snapshot().doneRuns(), job.snapshot().doneRuns());
        assertEquals(restored.lastStarts(), job.lastStarts());
    }

    @Test
    public void aSingleFactThatIsTooLargeIsLeftWhole() {
        // Guards against an endless division of a record.
        JobAccepted record = new JobAccepted(definition());

        assertEquals(RecordParts.encode(record, 10).size(), 1);
        assertEquals(RecordParts.encode(new RunsStarted(List.of(start(0, 0))), 10).size(), 1);
    }
}
