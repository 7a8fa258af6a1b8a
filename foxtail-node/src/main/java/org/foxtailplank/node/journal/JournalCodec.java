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
import org.foxtailplank.job.CrashHistory;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.DoneRuns;
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
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.RunRange;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.job.WorkerIncarnation;

/**
 * Encodes and decodes journal records as protobuf messages. A record is a message with one field,
 * whose number is the kind of the record.
 *
 * <p>Unknown fields are skipped, so that a node can read records of a newer version. The messages
 * are encoded by hand, since generated classes would increase the startup time of a node.
 */
public final class JournalCodec {
    /**
     * Size of the encoding buffer, in bytes; fits most messages, larger ones are flushed in parts.
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
    private static final int SNAPSHOT = 9;
    private static final int BEGUN = 10;
    private static final int WAVE_DUE = 11;
    private static final int GIVEN_UP = 12;
    private static final int ENDED_WITH_WORKER = 13;
    private static final int JOBS_ENDED = 14;
    private static final int UNKNOWN_CANCELLED = 15;

    private JournalCodec() {}

    /** Encodes a record, with its key. */
    public static byte[] encode(JournalRecord record) {
        byte[] content = encodeContent(record);
        boolean isOwners = record instanceof OwnerHeartbeat || record instanceof OwnerResigned;
        return isOwners ? JournalKey.frameOfOwner(content) : JournalKey.frame(content);
    }

    /** Returns a record with its key, which a node of an earlier version may have left out. */
    public static byte[] withKey(byte[] record) {
        return JournalKey.hasKey(record) ? record : JournalKey.frame(record);
    }

    private static byte[] encodeContent(JournalRecord record) {
        if (record instanceof JobAccepted r) {
            return encodeMessage(
                    out ->
                            writeMessage(
                                    out,
                                    ACCEPTED,
                                    o -> JobDefinitionCodec.write(o, r.definition())));
        }
        if (record instanceof JobSnapshot r) {
            return encodeMessage(out -> writeMessage(out, SNAPSHOT, o -> writeSnapshot(o, r)));
        }
        if (record instanceof JobCancelled r) {
            return encodeMessage(
                    out ->
                            writeMessage(
                                    out, CANCELLED, o -> writeNumberAndName(o, r.atMs(), r.job())));
        }
        if (record instanceof JobGivenUp r) {
            return encodeMessage(
                    out ->
                            writeMessage(
                                    out, GIVEN_UP, o -> writeNumberAndName(o, r.atMs(), r.job())));
        }
        if (record instanceof RunsEnded r) {
            return encodeMessage(out -> writeMessage(out, ENDED, o -> writeEnds(o, r.runs())));
        }
        if (record instanceof RunsStarted r) {
            return encodeMessage(out -> writeMessage(out, STARTED, o -> writeStarts(o, r.runs())));
        }
        if (record instanceof RunsEndedWithWorker r) {
            return encodeMessage(
                    out -> writeMessage(out, ENDED_WITH_WORKER, o -> writeStarts(o, r.runs())));
        }
        if (record instanceof JobsStarted r) {
            return encodeMessage(out -> writeMessage(out, BEGUN, o -> writeJobs(o, r.jobs())));
        }
        if (record instanceof JobsEnded r) {
            return encodeMessage(
                    out -> writeMessage(out, JOBS_ENDED, o -> EndedJobsCodec.write(o, r)));
        }
        if (record instanceof UnknownJobsCancelled r) {
            return encodeMessage(
                    out ->
                            writeMessage(
                                    out,
                                    UNKNOWN_CANCELLED,
                                    o -> CancelledIdsCodec.write(o, r.ids())));
        }
        return encodeOwnerOrWave(record);
    }

    private static byte[] encodeOwnerOrWave(JournalRecord record) {
        if (record instanceof OwnerHeartbeat r) {
            return encodeMessage(
                    out -> writeMessage(out, ALIVE, o -> OwnerRecordCodec.write(o, r)));
        }
        if (record instanceof WaveDue r) {
            return encodeMessage(out -> writeMessage(out, WAVE_DUE, o -> writeWaveDue(o, r)));
        }
        if (record instanceof VmRebooted r) {
            return encodeMessage(
                    out ->
                            writeMessage(
                                    out, REBOOTED, o -> writeNumberAndName(o, r.wave(), r.vm())));
        }
        if (record instanceof WaveCompleted r) {
            return encodeMessage(
                    out -> writeMessage(out, COMPLETED, o -> writeNumberAndName(o, r.wave(), "")));
        }
        OwnerResigned r = (OwnerResigned) record;
        return encodeMessage(out -> writeMessage(out, LEFT, o -> OwnerRecordCodec.write(o, r)));
    }

    /**
     * Decodes a record, with or without a key; returns empty for an unknown kind, and for the
     * removal of a key.
     *
     * @throws IOException if the record is malformed. Every malformed record must be rejected here:
     *     an unchecked exception, now or when the record is applied, would stop the reader of the
     *     journal on every node
     */
    public static Optional<JournalRecord> decode(byte[] bytes) throws IOException {
        int offset = JournalKey.contentOffset(bytes);
        CodedInputStream in = CodedInputStream.newInstance(bytes, offset, bytes.length - offset);
        int tag = in.readTag();
        int kind = WireFormat.getTagFieldNumber(tag);
        if (kind < ACCEPTED || kind > UNKNOWN_CANCELLED) {
            return Optional.empty();
        }
        CodedInputStream body = in.readBytes().newCodedInput();
        return Optional.of(
                switch (kind) {
                    case ACCEPTED -> new JobAccepted(JobDefinitionCodec.read(body));
                    case ENDED -> new RunsEnded(readEnds(body));
                    case SNAPSHOT -> readSnapshot(body);
                    case STARTED -> new RunsStarted(readStarts(body));
                    case ENDED_WITH_WORKER -> new RunsEndedWithWorker(readStarts(body));
                    case JOBS_ENDED -> EndedJobsCodec.read(body);
                    case UNKNOWN_CANCELLED -> CancelledIdsCodec.read(body);
                    case BEGUN -> new JobsStarted(readJobs(body));
                    case WAVE_DUE -> readWaveDue(body);
                    case LEFT -> OwnerRecordCodec.readOwnerResigned(body);
                    case ALIVE -> OwnerRecordCodec.readOwnerAlive(body);
                    default -> readNumberAndNameRecord(kind, body);
                });
    }

    private static JournalRecord readNumberAndNameRecord(int kind, CodedInputStream in)
            throws IOException {
        NumberAndName named = readNumberAndName(in);
        return switch (kind) {
            case CANCELLED -> new JobCancelled(named.name(), named.number());
            case GIVEN_UP -> new JobGivenUp(named.name(), named.number());
            case REBOOTED -> new VmRebooted(named.number(), named.name());
            default -> new WaveCompleted(named.number());
        };
    }

    private static void writeSnapshot(CodedOutputStream out, JobSnapshot record)
            throws IOException {
        writeMessage(out, 1, o -> JobDefinitionCodec.write(o, record.definition()));
        writeMessage(out, 2, o -> writeStarts(o, record.starts()));
        writeMessage(out, 3, o -> writeEnds(o, record.ends()));
        out.writeInt64(4, record.cancelledMs());
        out.writeInt64(5, record.givenUpMs());
        writeMessage(out, 6, o -> writeDoneRuns(o, record.doneRuns()));
        out.writeBool(7, record.started());
        writeMessage(out, 8, o -> writeStarts(o, record.endedWithWorker()));
    }

    private static void writeDoneRuns(CodedOutputStream out, DoneRuns done) throws IOException {
        out.writeInt64(1, done.endedMs());
        for (RunRange r : done.ranges()) {
            out.writeInt32(2, r.first());
            out.writeInt32(3, r.last());
        }
    }

    private static DoneRuns readDoneRuns(CodedInputStream in) throws IOException {
        long endedMs = 0;
        int first = 0;
        List<RunRange> ranges = new ArrayList<>();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case 1 -> endedMs = in.readInt64();
                case 2 -> first = in.readInt32();
                case 3 -> ranges.add(toRunRange(first, in.readInt32()));
                default -> in.skipField(tag);
            }
        }
        return new DoneRuns(ranges, endedMs);
    }

    private static RunRange toRunRange(int first, int last) throws IOException {
        try {
            return new RunRange(first, last);
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static JobSnapshot readSnapshot(CodedInputStream in) throws IOException {
        JobDefinition definition = null;
        List<StartedRun> starts = List.of();
        List<EndedRun> ends = List.of();
        DoneRuns doneRuns = DoneRuns.NONE;
        long cancelledMs = 0;
        long givenUpMs = 0;
        boolean started = false;
        List<StartedRun> endedWithWorker = List.of();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case 1 -> definition = JobDefinitionCodec.read(in.readBytes().newCodedInput());
                case 2 -> starts = readStarts(in.readBytes().newCodedInput());
                case 3 -> ends = readEnds(in.readBytes().newCodedInput());
                case 4 -> cancelledMs = in.readInt64();
                case 5 -> givenUpMs = in.readInt64();
                case 6 -> doneRuns = readDoneRuns(in.readBytes().newCodedInput());
                case 7 -> started = in.readBool();
                case 8 -> endedWithWorker = readStarts(in.readBytes().newCodedInput());
                default -> in.skipField(tag);
            }
        }
        if (definition == null) {
            throw new IOException("job snapshot has no job definition");
        }
        return new JobSnapshot(
                definition,
                starts,
                ends,
                doneRuns,
                cancelledMs,
                givenUpMs,
                started,
                endedWithWorker);
    }

    private static void writeJobs(CodedOutputStream out, List<String> jobs) throws IOException {
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

    private static void writeWaveDue(CodedOutputStream out, WaveDue record) throws IOException {
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

    private record NumberAndName(long number, String name) {}

    private static void writeNumberAndName(CodedOutputStream out, long number, String name)
            throws IOException {
        out.writeInt64(1, number);
        out.writeString(2, name);
    }

    private static NumberAndName readNumberAndName(CodedInputStream in) throws IOException {
        long number = 0;
        String name = "";
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case 1 -> number = in.readInt64();
                case 2 -> name = in.readString();
                default -> in.skipField(tag);
            }
        }
        return new NumberAndName(number, name);
    }

    private static void writeStarts(CodedOutputStream out, List<StartedRun> runs)
            throws IOException {
        for (StartedRun r : runs) {
            writeMessage(out, 1, o -> writeStart(o, r));
        }
    }

    private static void writeStart(CodedOutputStream out, StartedRun run) throws IOException {
        out.writeString(1, run.task().job());
        out.writeInt32(2, run.task().run());
        out.writeInt32(3, run.task().step());
        out.writeInt32(4, run.task().index());
        out.writeInt32(5, run.attempt());
        out.writeString(6, run.worker().id());
        out.writeInt64(10, run.worker().startMs());
        if (run.crashes().isSuspect()) {
            out.writeInt32(7, run.crashes().crashes());
            out.writeInt32(8, run.crashes().evidence());
            // Earlier versions keep the last value of a field, which is the newest age.
            for (long ageMs : run.crashes().agesMs()) {
                out.writeInt32(9, (int) ageMs);
            }
        }
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
        long workerStartMs = WorkerIncarnation.UNKNOWN_START_MS;
        int[] numbers = new int[9];
        List<Long> agesMs = new ArrayList<>();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            int field = WireFormat.getTagFieldNumber(tag);
            if (field == 1) {
                job = in.readString();
            } else if (field == 6) {
                worker = in.readString();
            } else if (field < numbers.length) {
                numbers[field] = in.readInt32();
            } else if (field == 9) {
                agesMs.add((long) in.readInt32());
            } else if (field == 10) {
                workerStartMs = in.readInt64();
            } else {
                in.skipField(tag);
            }
        }
        agesMs.removeIf(ms -> ms <= 0);
        TaskName task = new TaskName(job, numbers[2], numbers[3], numbers[4]);
        if (workerStartMs < 0) {
            throw new IOException("negative start time of a worker: " + workerStartMs);
        }
        return new StartedRun(
                task,
                numbers[5],
                new WorkerIncarnation(worker, workerStartMs),
                toCrashHistory(numbers[7], numbers[8], agesMs));
    }

    private static CrashHistory toCrashHistory(int crashes, int evidence, List<Long> agesMs)
            throws IOException {
        try {
            return new CrashHistory(crashes, evidence, agesMs);
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static void writeEnds(CodedOutputStream out, List<EndedRun> runs) throws IOException {
        for (EndedRun r : runs) {
            writeMessage(out, 1, o -> writeEnd(o, r));
        }
    }

    private static void writeEnd(CodedOutputStream out, EndedRun run) throws IOException {
        out.writeString(1, run.task().job());
        out.writeInt32(2, run.task().run());
        out.writeInt32(3, run.task().step());
        out.writeInt32(4, run.task().index());
        out.writeInt32(5, run.attempt());
        out.writeInt32(6, run.outcome().ordinal());
        out.writeInt64(7, run.atMs());
    }

    private static List<EndedRun> readEnds(CodedInputStream in) throws IOException {
        List<EndedRun> runs = new ArrayList<>();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            if (WireFormat.getTagFieldNumber(tag) == 1) {
                runs.add(readEnd(in.readBytes().newCodedInput()));
            } else {
                in.skipField(tag);
            }
        }
        return runs;
    }

    private static EndedRun readEnd(CodedInputStream in) throws IOException {
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
        return new EndedRun(task, numbers[5], toOutcome(numbers[6]), atMs);
    }

    private static RunOutcome toOutcome(int number) throws IOException {
        RunOutcome[] outcomes = RunOutcome.values();
        if (number < 0 || number >= outcomes.length) {
            throw new IOException("unknown run outcome " + number);
        }
        return outcomes[number];
    }

    /** Writes the fields of a message to a stream. */
    @FunctionalInterface
    public interface FieldWriter {
        void write(CodedOutputStream out) throws IOException;
    }

    /** Writes a nested message as a length-delimited field. */
    static void writeMessage(CodedOutputStream out, int field, FieldWriter fields)
            throws IOException {
        out.writeBytes(field, ByteString.copyFrom(encodeMessage(fields)));
    }

    /** Encodes a message. */
    public static byte[] encodeMessage(FieldWriter fields) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        CodedOutputStream out = CodedOutputStream.newInstance(bytes, BUFFER_BYTES);
        try {
            fields.write(out);
            out.flush();
        } catch (IOException e) {
            throw new IllegalStateException("unexpected I/O error on an in-memory stream", e);
        }
        return bytes.toByteArray();
    }
}
