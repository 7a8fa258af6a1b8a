package org.foxtailplank.node.journal;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.DoneRuns;
import org.foxtailplank.job.JournalRecord.JobSnapshot;
import org.foxtailplank.job.JournalRecord.JobsEnded;
import org.foxtailplank.job.JournalRecord.JobsStarted;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.JournalRecord.RunsEndedWithWorker;
import org.foxtailplank.job.JournalRecord.RunsStarted;
import org.foxtailplank.job.JournalRecord.UnknownJobsCancelled;

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
        if (record instanceof JobsEnded r) {
            return halves(r.jobs(), jobs -> new JobsEnded(jobs, r.configVersion()));
        }
        if (record instanceof UnknownJobsCancelled r) {
            return halves(r.ids(), UnknownJobsCancelled::new);
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
        int facts =
                snapshot.starts().size()
                        + snapshot.ends().size()
                        + snapshot.doneRuns().ranges().size()
                        + snapshot.endedWithWorker().size();
        return facts < 2
                ? List.of()
                : List.of(part(snapshot, 0, facts / 2), part(snapshot, facts / 2, facts));
    }

    /** Returns the facts of a snapshot from one position to another, in the order of its lists. */
    private static JobSnapshot part(JobSnapshot snapshot, int from, int to) {
        DoneRuns done = snapshot.doneRuns();
        int ends = snapshot.starts().size();
        int ranges = ends + snapshot.ends().size();
        int endedWithWorker = ranges + done.ranges().size();
        return new JobSnapshot(
                snapshot.definition(),
                slice(snapshot.starts(), from, to),
                slice(snapshot.ends(), from - ends, to - ends),
                new DoneRuns(slice(done.ranges(), from - ranges, to - ranges), done.endedMs()),
                snapshot.cancelledMs(),
                snapshot.givenUpMs(),
                snapshot.started(),
                slice(snapshot.endedWithWorker(), from - endedWithWorker, to - endedWithWorker));
    }

    /** Returns the part of a list between two positions, which may be outside of it. */
    private static <T> List<T> slice(List<T> facts, int from, int to) {
        int first = Math.max(0, Math.min(facts.size(), from));
        return facts.subList(first, Math.max(first, Math.min(facts.size(), to)));
    }
}
