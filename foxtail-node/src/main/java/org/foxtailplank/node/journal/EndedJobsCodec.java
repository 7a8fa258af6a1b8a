package org.foxtailplank.node.journal;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.foxtailplank.job.JobPhase;
import org.foxtailplank.job.JournalRecord.EndedJob;
import org.foxtailplank.job.JournalRecord.JobsEnded;

/**
 * Encodes and decodes summaries of ended jobs as protobuf fields.
 *
 * <p>Jobs of one queue, organisation and phase form a group, in which a job takes some 15 bytes:
 * they are rewritten several times in each retention.
 */
final class EndedJobsCodec {
    private static final Pattern HEX_ID = Pattern.compile("[0-9a-f]{16}");
    private static final int HEX = 16;

    private EndedJobsCodec() {}

    private record Group(String route, String organisation, JobPhase phase) {
        static Group of(EndedJob job) {
            return new Group(job.route(), job.organisation(), job.phase());
        }
    }

    static void write(CodedOutputStream out, JobsEnded record) throws IOException {
        out.writeInt64(1, record.configVersion());
        Map<Group, List<EndedJob>> groups = new LinkedHashMap<>();
        for (EndedJob j : record.jobs()) {
            groups.computeIfAbsent(Group.of(j), g -> new ArrayList<>()).add(j);
        }
        for (Map.Entry<Group, List<EndedJob>> g : groups.entrySet()) {
            JournalCodec.writeMessage(out, 2, o -> writeGroup(o, g.getKey(), g.getValue()));
        }
    }

    private static void writeGroup(CodedOutputStream out, Group group, List<EndedJob> jobs)
            throws IOException {
        long baseMs = jobs.get(0).acceptedMs();
        out.writeString(1, group.route());
        out.writeString(2, group.organisation());
        out.writeInt32(3, group.phase().ordinal());
        out.writeInt64(4, baseMs);
        byte[] rows = JournalCodec.encodeMessage(o -> writeRows(o, jobs, baseMs));
        out.writeBytes(5, ByteString.copyFrom(rows));
    }

    private static void writeRows(CodedOutputStream out, List<EndedJob> jobs, long baseMs)
            throws IOException {
        for (EndedJob j : jobs) {
            if (HEX_ID.matcher(j.job()).matches()) {
                out.writeStringNoTag("");
                out.writeFixed64NoTag(Long.parseUnsignedLong(j.job(), HEX));
            } else {
                out.writeStringNoTag(j.job());
            }
            out.writeSInt64NoTag(j.acceptedMs() - baseMs);
            out.writeSInt64NoTag(j.endedMs() - j.acceptedMs());
        }
    }

    static JobsEnded read(CodedInputStream in) throws IOException {
        long configVersion = 0;
        List<EndedJob> jobs = new ArrayList<>();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case 1 -> configVersion = in.readInt64();
                case 2 -> readGroup(in.readBytes().newCodedInput(), jobs);
                default -> in.skipField(tag);
            }
        }
        return new JobsEnded(jobs, configVersion);
    }

    private static void readGroup(CodedInputStream in, List<EndedJob> jobs) throws IOException {
        String route = "";
        String organisation = "";
        int phase = 0;
        long baseMs = 0;
        ByteString rows = ByteString.EMPTY;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case 1 -> route = in.readString();
                case 2 -> organisation = in.readString();
                case 3 -> phase = in.readInt32();
                case 4 -> baseMs = in.readInt64();
                case 5 -> rows = in.readBytes();
                default -> in.skipField(tag);
            }
        }
        Group group = new Group(route, organisation, toFinalPhase(phase));
        CodedInputStream row = rows.newCodedInput();
        while (!row.isAtEnd()) {
            jobs.add(readRow(row, group, baseMs));
        }
    }

    private static EndedJob readRow(CodedInputStream in, Group group, long baseMs)
            throws IOException {
        String name = in.readString();
        String id = name.isEmpty() ? String.format("%016x", in.readFixed64()) : name;
        long acceptedMs = baseMs + in.readSInt64();
        long endedMs = acceptedMs + in.readSInt64();
        return new EndedJob(
                id, group.route(), group.organisation(), group.phase(), acceptedMs, endedMs);
    }

    private static JobPhase toFinalPhase(int number) throws IOException {
        JobPhase[] phases = JobPhase.values();
        if (number < 0 || number >= phases.length || !phases[number].isFinal()) {
            throw new IOException("phase " + number + " of an ended job is not a final one");
        }
        return phases[number];
    }
}
