package org.foxtailplank.node.journal;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.job.JobOrder;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.EndedRun;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.job.JournalRecord.JobRestated;
import org.foxtailplank.job.JournalRecord.JobsBegun;
import org.foxtailplank.job.JournalRecord.OwnerAlive;
import org.foxtailplank.job.JournalRecord.OwnerLeft;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.JournalRecord.RunsStarted;
import org.foxtailplank.job.JournalRecord.StartedRun;
import org.foxtailplank.job.JournalRecord.VmRebooted;
import org.foxtailplank.job.JournalRecord.WaveCompleted;
import org.foxtailplank.job.JournalRecord.WaveDue;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.TaskName;

/**
 * Records of the journal as protobuf fields: a record holds one field, whose number is its kind.
 *
 * <p>Fields of an unknown number are passed over, so that a node reads what a newer one wrote. The
 * fields are written by hand: generated classes for these few messages would be larger than the
 * rest of the module and would lengthen the start of a node.
 */
public final class JournalCodec {
    /**
     * Size of the buffer in which a message is put together, in bytes: most are the dozen fields of
     * a start or an end, of which an owner writes and nodes hand on hundreds a second. Larger ones
     * take several turns.
     */
    public static final int BUFFER_BYTES = 128;

    private static final int ACCEPTED = 1;
    private static final int CANCELLED = 2;
    private static final int ENDED = 3;
    private static final int STARTED = 4;
    private static final int ALIVE = 5;
    private static final int LEFT = 6;
    private static final int REBOOTED = 7;
    private static final int COMPLETED = 8;
    private static final int RESTATED = 9;
    private static final int BEGUN = 10;
    private static final int WAVE_DUE = 11;

    private JournalCodec() {}

    /** A record as bytes. */
    public static byte[] encode(JournalRecord record) {
        if (record instanceof JobAccepted r) {
            return message(out -> part(out, ACCEPTED, o -> JobOrderCodec.write(o, r.order())));
        }
        if (record instanceof JobRestated r) {
            return message(out -> part(out, RESTATED, o -> restated(o, r)));
        }
        if (record instanceof JobCancelled r) {
            return message(out -> part(out, CANCELLED, o -> named(o, r.atMs(), r.job())));
        }
        if (record instanceof RunsEnded r) {
            return message(out -> part(out, ENDED, o -> runs(o, r.runs())));
        }
        if (record instanceof RunsStarted r) {
            return message(out -> part(out, STARTED, o -> starts(o, r.runs())));
        }
        if (record instanceof JobsBegun r) {
            return message(out -> part(out, BEGUN, o -> jobs(o, r.jobs())));
        }
        if (record instanceof OwnerAlive r) {
            return message(out -> part(out, ALIVE, o -> OwnerSignCodec.write(o, r)));
        }
        if (record instanceof WaveDue r) {
            return message(out -> part(out, WAVE_DUE, o -> waveDue(o, r)));
        }
        if (record instanceof VmRebooted r) {
            return message(out -> part(out, REBOOTED, o -> named(o, r.wave(), r.vm())));
        }
        if (record instanceof WaveCompleted r) {
            return message(out -> part(out, COMPLETED, o -> named(o, r.wave(), "")));
        }
        OwnerLeft r = (OwnerLeft) record;
        return message(out -> part(out, LEFT, o -> OwnerSignCodec.write(o, r)));
    }

    /**
     * Reads a record; empty for a kind that this version does not know.
     *
     * @throws IOException if the record is another writer's: an unchecked exception, here or where
     *     its job is kept, would end the reads of the journal on every node
     */
    public static Optional<JournalRecord> decode(byte[] bytes) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        int tag = in.readTag();
        int kind = WireFormat.getTagFieldNumber(tag);
        if (kind < ACCEPTED || kind > WAVE_DUE) {
            return Optional.empty();
        }
        CodedInputStream body = in.readBytes().newCodedInput();
        return Optional.of(
                switch (kind) {
                    case ACCEPTED -> new JobAccepted(JobOrderCodec.read(body));
                    case ENDED -> new RunsEnded(readRuns(body));
                    case RESTATED -> readRestated(body);
                    case STARTED -> new RunsStarted(readStarts(body));
                    case BEGUN -> new JobsBegun(readJobs(body));
                    case WAVE_DUE -> readWaveDue(body);
                    case LEFT -> OwnerSignCodec.readLeft(body);
                    case ALIVE -> OwnerSignCodec.readAlive(body);
                    default -> readNamed(kind, body);
                });
    }

    private static JournalRecord readNamed(int kind, CodedInputStream in) throws IOException {
        Named named = readNamed(in);
        return switch (kind) {
            case CANCELLED -> new JobCancelled(named.name(), named.number());
            case REBOOTED -> new VmRebooted(named.number(), named.name());
            default -> new WaveCompleted(named.number());
        };
    }

    private static void restated(CodedOutputStream out, JobRestated record) throws IOException {
        part(out, 1, o -> JobOrderCodec.write(o, record.order()));
        part(out, 2, o -> starts(o, record.starts()));
        part(out, 3, o -> runs(o, record.ends()));
        out.writeInt64(4, record.cancelledMs());
    }

    private static JobRestated readRestated(CodedInputStream in) throws IOException {
        JobOrder order = null;
        List<StartedRun> starts = List.of();
        List<EndedRun> ends = List.of();
        long cancelledMs = 0;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case 1 -> order = JobOrderCodec.read(in.readBytes().newCodedInput());
                case 2 -> starts = readStarts(in.readBytes().newCodedInput());
                case 3 -> ends = readRuns(in.readBytes().newCodedInput());
                case 4 -> cancelledMs = in.readInt64();
                default -> in.skipField(tag);
            }
        }
        if (order == null) {
            throw new IOException("a job that is told again lacks its order");
        }
        return new JobRestated(order, starts, ends, cancelledMs);
    }

    private static void jobs(CodedOutputStream out, List<String> jobs) throws IOException {
        for (String id : jobs) {
            out.writeString(1, id);
        }
    }

    private static List<String> readJobs(CodedInputStream in) throws IOException {
        List<String> jobs = new ArrayList<>();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            if (WireFormat.getTagFieldNumber(tag) == 1) {
                jobs.add(in.readString());
            } else {
                in.skipField(tag);
            }
        }
        return jobs;
    }

    private static void waveDue(CodedOutputStream out, WaveDue record) throws IOException {
        out.writeInt64(1, record.wave());
        out.writeInt64(2, record.dueMs());
    }

    private static WaveDue readWaveDue(CodedInputStream in) throws IOException {
        long[] numbers = new long[3];
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            int field = WireFormat.getTagFieldNumber(tag);
            if (field < numbers.length) {
                numbers[field] = in.readInt64();
            } else {
                in.skipField(tag);
            }
        }
        return new WaveDue(numbers[1], numbers[2]);
    }

    private record Named(long number, String name) {}

    private static void named(CodedOutputStream out, long number, String name) throws IOException {
        out.writeInt64(1, number);
        out.writeString(2, name);
    }

    private static Named readNamed(CodedInputStream in) throws IOException {
        long number = 0;
        String name = "";
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case 1 -> number = in.readInt64();
                case 2 -> name = in.readString();
                default -> in.skipField(tag);
            }
        }
        return new Named(number, name);
    }

    private static void starts(CodedOutputStream out, List<StartedRun> runs) throws IOException {
        for (StartedRun r : runs) {
            part(out, 1, o -> start(o, r));
        }
    }

    private static void start(CodedOutputStream out, StartedRun run) throws IOException {
        out.writeString(1, run.task().job());
        out.writeInt32(2, run.task().run());
        out.writeInt32(3, run.task().step());
        out.writeInt32(4, run.task().index());
        out.writeInt32(5, run.attempt());
        out.writeString(6, run.worker());
    }

    private static List<StartedRun> readStarts(CodedInputStream in) throws IOException {
        List<StartedRun> runs = new ArrayList<>();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            if (WireFormat.getTagFieldNumber(tag) == 1) {
                runs.add(readStart(in.readBytes().newCodedInput()));
            } else {
                in.skipField(tag);
            }
        }
        return runs;
    }

    private static StartedRun readStart(CodedInputStream in) throws IOException {
        String job = "";
        String worker = "";
        int[] numbers = new int[6];
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            int field = WireFormat.getTagFieldNumber(tag);
            if (field == 1) {
                job = in.readString();
            } else if (field < numbers.length) {
                numbers[field] = in.readInt32();
            } else if (field == numbers.length) {
                worker = in.readString();
            } else {
                in.skipField(tag);
            }
        }
        TaskName task = new TaskName(job, numbers[2], numbers[3], numbers[4]);
        return new StartedRun(task, numbers[5], worker);
    }

    private static void runs(CodedOutputStream out, List<EndedRun> runs) throws IOException {
        for (EndedRun r : runs) {
            part(out, 1, o -> run(o, r));
        }
    }

    private static void run(CodedOutputStream out, EndedRun run) throws IOException {
        out.writeString(1, run.task().job());
        out.writeInt32(2, run.task().run());
        out.writeInt32(3, run.task().step());
        out.writeInt32(4, run.task().index());
        out.writeInt32(5, run.attempt());
        out.writeInt32(6, run.outcome().ordinal());
        out.writeInt64(7, run.atMs());
    }

    private static List<EndedRun> readRuns(CodedInputStream in) throws IOException {
        List<EndedRun> runs = new ArrayList<>();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            if (WireFormat.getTagFieldNumber(tag) == 1) {
                runs.add(readRun(in.readBytes().newCodedInput()));
            } else {
                in.skipField(tag);
            }
        }
        return runs;
    }

    private static EndedRun readRun(CodedInputStream in) throws IOException {
        String job = "";
        int[] numbers = new int[7];
        long atMs = 0;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            int field = WireFormat.getTagFieldNumber(tag);
            if (field == 1) {
                job = in.readString();
            } else if (field < numbers.length) {
                numbers[field] = in.readInt32();
            } else if (field == numbers.length) {
                atMs = in.readInt64();
            } else {
                in.skipField(tag);
            }
        }
        TaskName task = new TaskName(job, numbers[2], numbers[3], numbers[4]);
        return new EndedRun(task, numbers[5], outcome(numbers[6]), atMs);
    }

    private static RunOutcome outcome(int number) throws IOException {
        RunOutcome[] all = RunOutcome.values();
        if (number < 0 || number >= all.length) {
            throw new IOException("no outcome has the number " + number);
        }
        return all[number];
    }

    /** Writes the fields of a message. */
    @FunctionalInterface
    interface Fields {
        void write(CodedOutputStream out) throws IOException;
    }

    static void part(CodedOutputStream out, int field, Fields fields) throws IOException {
        out.writeBytes(field, ByteString.copyFrom(message(fields)));
    }

    private static byte[] message(Fields fields) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        CodedOutputStream out = CodedOutputStream.newInstance(bytes, BUFFER_BYTES);
        try {
            fields.write(out);
            out.flush();
        } catch (IOException e) {
            throw new IllegalStateException("memory that cannot be written", e);
        }
        return bytes.toByteArray();
    }
}
