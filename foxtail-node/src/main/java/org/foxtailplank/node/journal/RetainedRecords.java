package org.foxtailplank.node.journal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.CancelledId;
import org.foxtailplank.job.JournalRecord.EndedJob;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.job.JournalRecord.JobGivenUp;
import org.foxtailplank.job.JournalRecord.JobSnapshot;
import org.foxtailplank.job.JournalRecord.JobsEnded;
import org.foxtailplank.job.JournalRecord.JobsStarted;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.JournalRecord.RunsEndedWithWorker;
import org.foxtailplank.job.JournalRecord.RunsStarted;
import org.foxtailplank.job.JournalRecord.UnknownJobsCancelled;
import org.foxtailplank.job.JournalRecord.VmRebooted;
import org.foxtailplank.job.JournalRecord.WaveCompleted;
import org.foxtailplank.job.JournalRecord.WaveDue;
import org.foxtailplank.node.journal.RetainedRecord.JobRecords;
import org.foxtailplank.node.journal.RetainedRecord.Kind;

/**
 * The records of the journal that the log retains, as far as this node has read it, and which of
 * them are still needed.
 *
 * <p>A record is needed until its facts are part of later copies of all its jobs, or until its jobs
 * have been forgotten. The records of a forgotten job are removed in two steps: the definition
 * first, as a definition without the job's end would bring the job back.
 */
public final class RetainedRecords {
    private final Map<Id, RetainedRecord> mRecords = new LinkedHashMap<>();
    private final Map<String, JobRecords> mJobs = new HashMap<>();
    private final JobRegistry mRegistry;

    /** Facts of an earlier version's journal that are about no job, and must be stored again. */
    private final Map<JournalKey, JournalRecord> mEarlierFacts = new LinkedHashMap<>();

    private long mLastNumber;

    private record Id(int partition, JournalKey key) {}

    RetainedRecords(JobRegistry registry) {
        mRegistry = registry;
    }

    /** Adds a record that was read; one that was stored again counts as read now. */
    void add(int partition, JournalKey key, JournalRecord record, long readMs, boolean isExpired) {
        Optional<Kind> kind = kind(record);
        if (kind.isEmpty()) {
            return;
        }
        remove(partition, key);
        List<JobRecords> jobs = new ArrayList<>();
        for (String id : jobIds(record)) {
            jobs.add(mJobs.computeIfAbsent(id, JobRecords::new));
        }
        List<CancelledId> cancelled =
                record instanceof UnknownJobsCancelled r ? r.ids() : List.of();
        RetainedRecord added =
                new RetainedRecord(
                        partition,
                        key,
                        ++mLastNumber,
                        readMs,
                        isExpired,
                        kind.get(),
                        jobs,
                        cancelled,
                        wave(record));
        mRecords.put(new Id(partition, key), added);
        jobs.forEach(j -> j.added(added));
    }

    /** Adds a record of an earlier version's journal, which will expire. */
    void addEarlier(JournalKey key, JournalRecord record, long readMs) {
        add(JournalPartitions.EARLIER, key, record, readMs, true);
        boolean isAboutJobs = !jobIds(record).isEmpty();
        if (kind(record).isPresent() && (!isAboutJobs || record instanceof UnknownJobsCancelled)) {
            mEarlierFacts.put(key, record);
        }
    }

    /** Facts of an earlier version's journal that must be stored again. */
    public List<JournalRecord> earlierFacts() {
        return List.copyOf(mEarlierFacts.values());
    }

    /** Records that a fact of an earlier version's journal is stored again. */
    public void earlierFactStored(JournalRecord fact) {
        mEarlierFacts.values().remove(fact);
    }

    /** Forgets a record of an earlier version's journal, which the log removes by itself. */
    public void forgetEarlier(RetainedRecord record) {
        remove(JournalPartitions.EARLIER, record.key());
    }

    /** Removes the record of a key that the log no longer retains. */
    void remove(int partition, JournalKey key) {
        RetainedRecord removed = mRecords.remove(new Id(partition, key));
        if (removed == null) {
            return;
        }
        for (JobRecords job : removed.jobs()) {
            job.removed(removed);
            if (job.count() == 0) {
                mJobs.remove(job.id());
            }
        }
    }

    /** All records, in the order in which they were read. */
    public Collection<RetainedRecord> all() {
        return Collections.unmodifiableCollection(mRecords.values());
    }

    /** Number of the last record that was read. */
    public long lastNumber() {
        return mLastNumber;
    }

    /**
     * Records that complete copies of jobs are stored.
     *
     * @param number number of the last record that had been read when the copies were taken
     */
    public void recordCopies(Collection<String> jobs, long number) {
        for (String id : jobs) {
            Optional.ofNullable(mJobs.get(id)).ifPresent(j -> j.copied(number));
        }
    }

    /**
     * Whether the log must go on retaining a record.
     *
     * @param forgottenBeforeMs on this node's monotonic clock in milliseconds, when records about
     *     jobs that are unknown now must have been read to be dispensable. The wall clock, by which
     *     ended jobs are forgotten, may be stepped
     */
    public boolean isNeeded(RetainedRecord record, long forgottenBeforeMs) {
        return switch (record.kind()) {
            case WAVE -> !mRegistry.isCompleted(record.wave());
            case COMPLETED_WAVE -> true;
            default ->
                    record.jobs().stream().anyMatch(j -> isNeededFor(j, record, forgottenBeforeMs));
        };
    }

    private boolean isNeededFor(JobRecords job, RetainedRecord record, long forgottenBeforeMs) {
        if (mRegistry.job(job.id()).isPresent()) {
            return !job.isCopied(record);
        }
        boolean isOld = record.wasReadBefore(forgottenBeforeMs);
        return switch (record.kind()) {
            case DEFINITION -> !isOld;
            case EARLY_CANCELLATIONS ->
                    record.cancelled().stream().anyMatch(mRegistry.earlyCancellations()::contains);
            default -> !isOld || job.isDefined();
        };
    }

    /** What a record states; empty if the log needn't retain it under a key of its own. */
    private static Optional<Kind> kind(JournalRecord record) {
        if (record instanceof JobAccepted || record instanceof JobSnapshot) {
            return Optional.of(Kind.DEFINITION);
        }
        if (record instanceof UnknownJobsCancelled) {
            return Optional.of(Kind.EARLY_CANCELLATIONS);
        }
        if (record instanceof WaveCompleted) {
            return Optional.of(Kind.COMPLETED_WAVE);
        }
        if (record instanceof VmRebooted || record instanceof WaveDue) {
            return Optional.of(Kind.WAVE);
        }
        return jobIds(record).isEmpty() ? Optional.empty() : Optional.of(Kind.FACTS);
    }

    private static long wave(JournalRecord record) {
        if (record instanceof VmRebooted r) {
            return r.wave();
        }
        if (record instanceof WaveDue r) {
            return r.wave();
        }
        return record instanceof WaveCompleted r ? r.wave() : 0;
    }

    /** IDs of the jobs that a record is about, without duplicates. */
    private static Set<String> jobIds(JournalRecord record) {
        Set<String> ids = new LinkedHashSet<>();
        jobs(record).forEach(ids::add);
        return ids;
    }

    private static Stream<String> jobs(JournalRecord record) {
        if (record instanceof JobAccepted r) {
            return Stream.of(r.definition().id());
        }
        if (record instanceof JobSnapshot r) {
            return Stream.of(r.definition().id());
        }
        if (record instanceof JobCancelled r) {
            return Stream.of(r.job());
        }
        if (record instanceof JobGivenUp r) {
            return Stream.of(r.job());
        }
        if (record instanceof RunsStarted r) {
            return r.runs().stream().map(run -> run.task().job());
        }
        if (record instanceof RunsEnded r) {
            return r.runs().stream().map(run -> run.task().job());
        }
        if (record instanceof RunsEndedWithWorker r) {
            return r.runs().stream().map(run -> run.task().job());
        }
        if (record instanceof JobsStarted r) {
            return r.jobs().stream();
        }
        if (record instanceof JobsEnded r) {
            return r.jobs().stream().map(EndedJob::job);
        }
        return record instanceof UnknownJobsCancelled r
                ? r.ids().stream().map(CancelledId::job)
                : Stream.empty();
    }
}
