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
import org.foxtailplank.job.JobBook;
import org.foxtailplank.job.JobEntry;
import org.foxtailplank.job.JobOrder;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.EndedRun;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.job.JournalRecord.JobRestated;
import org.foxtailplank.job.JournalRecord.OwnerAlive;
import org.foxtailplank.job.JournalRecord.OwnerLeft;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.JournalRecord.RunsStarted;
import org.foxtailplank.job.JournalRecord.StartedRun;
import org.foxtailplank.job.PlacementRule;
import org.foxtailplank.job.QueueTerms;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.Timetable;
import org.foxtailplank.node.FakeLog;
import org.foxtailplank.node.FakeNode;
import org.foxtailplank.node.log.NodeLog;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Records of the journal that another writer wrote.
 *
 * <p>Callers' jobs wait on every node at a time: each of them reads the same record, its decoder
 * throws on the event loop's thread, and nobody reads the journal on. A node that starts again
 * reads it again. The cause is a record whose fields were believed.
 */
public class ForeignRecordsTest {
    private static final String JOB = "00000000000000aa";
    private static final TaskName TASK = new TaskName(JOB, 0, 0, 1);
    private static final EndedRun END = new EndedRun(TASK, 4, RunOutcome.FAILED, 5);
    private static final StartedRun START = new StartedRun(TASK, 4, "w1");
    private static final int MANY = Integer.MAX_VALUE;
    private static final int DEEP = 60_000;
    private static final int MUTATIONS = 200_000;
    private static final long SEED = 20;

    /** A message of protobuf fields, as another writer may put it together. */
    private static byte[] message(JournalCodec.Fields fields) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        CodedOutputStream out = CodedOutputStream.newInstance(bytes);
        try {
            fields.write(out);
            out.flush();
        } catch (IOException e) {
            throw new IllegalStateException("memory that cannot be written", e);
        }
        return bytes.toByteArray();
    }

    private static byte[] part(int field, JournalCodec.Fields fields) {
        return message(o -> o.writeBytes(field, ByteString.copyFrom(message(fields))));
    }

    private static byte[] accepted(JobOrder order) {
        return JournalCodec.encode(new JobAccepted(order));
    }

    private static JobOrder order(Timetable timetable, TaskStep... steps) {
        QueueTerms terms = new QueueTerms(0, 2, 1.6, 600, Optional.empty());
        return new JobOrder(JOB, "q", "s", "text", List.of(steps), timetable, terms, 99);
    }

    private static TaskStep step(int tasks, Integer... dependsOn) {
        return new TaskStep(
                tasks,
                new Resources(500, 1, 0),
                700,
                List.of(dependsOn),
                PlacementRule.ANYWHERE,
                RunMode.PLAIN);
    }

    private static JobOrder good() {
        return order(Timetable.AT_ONCE, step(2), step(3, 0));
    }

    @DataProvider
    public Object[][] foreign() {
        byte[] endOfNoOutcome = part(3, o -> o.writeBytes(1, end(99)));
        byte[] endOfNegativeOutcome = part(3, o -> o.writeBytes(1, end(-1)));
        byte[] jobWithoutAnything = part(1, o -> {});
        byte[] jobWithAnIdOnly = part(1, o -> o.writeString(1, JOB));
        byte[] jobOfNumbers = part(1, o -> o.writeInt64(1, 7));
        byte[] restatedWithoutOrder = part(9, o -> o.writeInt64(4, 7));
        byte[] deepGroups = part(1, ForeignRecordsTest::writeDeepGroups);
        byte[] cutShort = {0x0a, 0x7f, 1};
        byte[] numberInPlaceOfAPart = {0x08, 0x05};
        return new Object[][] {
            {"an end of no outcome", endOfNoOutcome},
            {"an end of a negative outcome", endOfNegativeOutcome},
            {"a job without anything", jobWithoutAnything},
            {"a job with an ID only", jobWithAnIdOnly},
            {"a job of numbers", jobOfNumbers},
            {"a job told again without its order", restatedWithoutOrder},
            {"groups in groups without end", deepGroups},
            {"a record cut short", cutShort},
            {"a number in place of a part", numberInPlaceOfAPart},
            {"no step", accepted(order(Timetable.AT_ONCE))},
            {"no task", accepted(order(Timetable.AT_ONCE, step(0)))},
            {"fewer than no task", accepted(order(Timetable.AT_ONCE, step(-1)))},
            {"too many tasks", accepted(order(Timetable.AT_ONCE, step(MANY), step(9)))},
            {"a step after itself", accepted(order(Timetable.AT_ONCE, step(1, 0)))},
            {"a step after none", accepted(order(Timetable.AT_ONCE, step(1), step(1, -1)))},
            {"a step after a later one", accepted(order(Timetable.AT_ONCE, step(1), step(1, 2)))},
            {"no run", accepted(order(new Timetable(1, 1, 0), step(1)))},
            {"fewer than no run", accepted(order(new Timetable(1, 1, -3), step(1)))},
            {"too many runs", accepted(order(new Timetable(1, 1, MANY), step(9)))},
        };
    }

    private static void writeDeepGroups(CodedOutputStream out) throws IOException {
        for (int i = 0; i < DEEP; i++) {
            out.writeTag(20, WireFormat.WIRETYPE_START_GROUP);
        }
    }

    private static ByteString end(int outcome) {
        return ByteString.copyFrom(
                message(
                        o -> {
                            o.writeString(1, JOB);
                            o.writeInt32(6, outcome);
                        }));
    }

    @Test(dataProvider = "foreign")
    public void aRecordOfAnotherWriterIsSkippedAndTheOthersHold(String what, byte[] foreign) {
        FakeNode time = new FakeNode();
        FakeLog log = new FakeLog();
        JobBook book = new JobBook(120_000);
        List<JournalRecord> told = new ArrayList<>();
        JournalReader reader =
                new JournalReader(
                        log,
                        JournalPartition.all(1),
                        time,
                        time,
                        NodeLog.silent(time),
                        book,
                        (record, job) -> told.add(record));
        List<byte[]> records = log.records(JournalPartition.JOURNAL);
        records.add(accepted(good()));
        records.add(foreign);
        records.add(new byte[0]);
        records.add(JournalCodec.encode(new RunsStarted(List.of(START))));
        reader.follow();
        log.answer();
        records.add(JournalCodec.encode(new JobCancelled(JOB, 7)));
        time.pass(1000);
        log.answer();

        assertEquals(told.size(), 3, "the job, its start and its end beside " + what);
        assertEquals(book.jobs().size(), 1);
        assertTrue(book.job(JOB).get().endedMs() > 0);
    }

    @Test
    public void noBytesMakeTheReaderThrow() {
        // Records with single bytes changed, cut or doubled, from a fixed seed.
        List<JournalRecord> good =
                List.of(
                        new JobAccepted(good()),
                        new JobRestated(good(), List.of(START), List.of(END), 0),
                        new JobCancelled(JOB, 5),
                        new RunsStarted(List.of(START, START)),
                        new RunsEnded(List.of(END)),
                        new OwnerAlive(3, "10.0.0.1:9", 400),
                        new OwnerLeft(3, "n", false));
        Random random = new Random(SEED);
        for (int i = 0; i < MUTATIONS; i++) {
            byte[] bytes = JournalCodec.encode(good.get(random.nextInt(good.size())));
            for (int m = random.nextInt(3); m >= 0; m--) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            }
            try {
                apply(JournalCodec.decode(bytes));
            } catch (IOException e) {
                assertTrue(e.getMessage() != null, "the log line says why");
            } catch (RuntimeException e) {
                throw new AssertionError("seed " + SEED + ", mutation " + i, e);
            }
        }
    }

    /** What each node does with a record: the book takes it in, the owner tells it again. */
    private static void apply(Optional<JournalRecord> record) {
        JobBook book = new JobBook(120_000);
        book.apply(new JobAccepted(good()));
        record.ifPresent(book::apply);
        for (JobEntry job : book.jobs()) {
            job.order().chainMs();
            job.restate(7);
        }
    }
}
