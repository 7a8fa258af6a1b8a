package org.foxtailplank.node.journal;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.DoneRuns;
import org.foxtailplank.job.JournalRecord.JobSnapshot;
import org.foxtailplank.job.JournalRecord.JobsStarted;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.JournalRecord.RunsEndedWithWorker;
import org.foxtailplank.job.JournalRecord.RunsStarted;

/**
 * Encodes records in parts that the store accepts. The parts of a record state the same facts, in
 * any order, and applying them one by one has the same result.
 */
public final class RecordParts {
    private RecordParts() {}

    /**
     * Encodes a record as one or more records.
     *
     * @param maxBytes size that a part should not exceed, in bytes; a fact that can't be divided
     *     may be larger
     */
    public static List<byte[]> encode(JournalRecord record, int maxBytes) {
        List<byte[]> parts = new ArrayList<>();
        add(record, maxBytes, parts);
        return parts;
    }

    private static void add(JournalRecord record, int maxBytes, List<byte[]> parts) {
        byte[] bytes = JournalCodec.encode(record);
        List<JournalRecord> halves = bytes.length > maxBytes ? halves(record) : List.of();
        if (halves.isEmpty()) {
            parts.add(bytes);
        }
        halves.forEach(h -> add(h, maxBytes, parts));
    }

    /** Divides a record into two; empty if that is impossible. */
    private static List<JournalRecord> halves(JournalRecord record) {
        if (record instanceof RunsStarted r) {
            return halves(r.runs(), RunsStarted::new);
        }
        if (record instanceof RunsEnded r) {
            return halves(r.runs(), RunsEnded::new);
        }
        if (record instanceof RunsEndedWithWorker r) {
            return halves(r.runs(), RunsEndedWithWorker::new);
        }
        if (record instanceof JobsStarted r) {
            return halves(r.jobs(), JobsStarted::new);
        }
        return record instanceof JobSnapshot r ? halves(r) : List.of();
    }

    private static <T> List<JournalRecord> halves(
            List<T> facts, Function<List<T>, JournalRecord> create) {
        int middle = facts.size() / 2;
        return middle == 0
                ? List.of()
                : List.of(
                        create.apply(facts.subList(0, middle)),
                        create.apply(facts.subList(middle, facts.size())));
    }

    private static List<JournalRecord> halves(JobSnapshot snapshot) {
        DoneRuns done = snapshot.doneRuns();
        int starts = snapshot.starts().size();
        int ends = snapshot.ends().size();
        int ranges = done.ranges().size();
        if (starts + ends + ranges < 2) {
            return List.of();
        }
        return List.of(
                part(snapshot, 0, (starts + 1) / 2, 0, ends / 2, 0, (ranges + 1) / 2),
                part(snapshot, (starts + 1) / 2, starts, ends / 2, ends, (ranges + 1) / 2, ranges));
    }

    private static JobSnapshot part(
            JobSnapshot snapshot,
            int firstStart,
            int startsEnd,
            int firstEnd,
            int endsEnd,
            int firstRange,
            int rangesEnd) {
        DoneRuns done = snapshot.doneRuns();
        return new JobSnapshot(
                snapshot.definition(),
                snapshot.starts().subList(firstStart, startsEnd),
                snapshot.ends().subList(firstEnd, endsEnd),
                new DoneRuns(done.ranges().subList(firstRange, rangesEnd), done.endedMs()),
                snapshot.cancelledMs(),
                snapshot.givenUpMs());
    }
}
