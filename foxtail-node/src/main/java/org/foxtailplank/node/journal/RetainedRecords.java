package org.foxtailplank.node.journal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.job.JournalRecord;
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
    /** Records by partition and key, in the order in which they were read. */
    private final Map<Integer, Map<Long, RetainedRecord>> mRecords = new TreeMap<>();

    private final Map<String, JobRecords> mJobs = new HashMap<>();
    private final JobRegistry mRegistry;

    /** Facts of an earlier version's journal that are about no job, and must be stored again. */
    private final Map<RetainedRecord, JournalRecord> mEarlierFacts = new LinkedHashMap<>();

    private long mLastNumber;

    RetainedRecords(JobRegistry registry) {
        mRegistry = registry;
    }

    /** Adds a record that was read; one that was stored again counts as read now. */
    RetainedRecord add(
            int partition, long key, JournalRecord record, long readMs, boolean isExpired) {
        List<JobRecords> jobs = new ArrayList<>(1);
        addJobs(record, jobs);
        RetainedRecord added =
                new RetainedRecord(
                        partition,
                        key,
                        ++mLastNumber,
                        readMs,
                        isExpired,
                        kind(record),
                        jobs,
                        record instanceof UnknownJobsCancelled r ? r.ids() : List.of(),
                        wave(record));
        jobs.forEach(j -> j.added(added));
        remove(partition, key);
        mRecords.computeIfAbsent(partition, p -> new LinkedHashMap<>()).put(key, added);
        return added;
    }

    /** Adds a record of an earlier version's journal, which will expire. */
    void addEarlier(JournalRecord record, long readMs) {
        RetainedRecord added =
                add(JournalPartitions.EARLIER, mLastNumber + 1, record, readMs, true);
        if (added.jobs().isEmpty() || record instanceof UnknownJobsCancelled) {
            mEarlierFacts.put(added, record);
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
    void remove(int partition, long key) {
        Map<Long, RetainedRecord> records = mRecords.get(partition);
        RetainedRecord removed = records == null ? null : records.remove(key);
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

    /** All records, those of each partition in the order in which they were read. */
    public Stream<RetainedRecord> all() {
        return mRecords.values().stream().flatMap(records -> records.values().stream());
    }

    /** Number of records. */
    public int count() {
        return mRecords.values().stream().mapToInt(Map::size).sum();
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

    private static Kind kind(JournalRecord record) {
        if (record instanceof JobAccepted || record instanceof JobSnapshot) {
            return Kind.DEFINITION;
        }
        if (record instanceof UnknownJobsCancelled) {
            return Kind.EARLY_CANCELLATIONS;
        }
        if (record instanceof WaveCompleted) {
            return Kind.COMPLETED_WAVE;
        }
        boolean isAboutWave = record instanceof VmRebooted || record instanceof WaveDue;
        return isAboutWave ? Kind.WAVE : Kind.FACTS;
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

    /** Adds the jobs that a record is about, without duplicates. */
    private void addJobs(JournalRecord record, List<JobRecords> jobs) {
        if (record instanceof JobAccepted r) {
            addJob(r.definition().id(), jobs);
        } else if (record instanceof JobSnapshot r) {
            addJob(r.definition().id(), jobs);
        } else if (record instanceof RunsStarted r) {
            r.runs().forEach(run -> addJob(run.task().job(), jobs));
        } else if (record instanceof RunsEnded r) {
            r.runs().forEach(run -> addJob(run.task().job(), jobs));
        } else if (record instanceof JobsStarted r) {
            r.jobs().forEach(id -> addJob(id, jobs));
        } else if (record instanceof JobCancelled r) {
            addJob(r.job(), jobs);
        } else if (record instanceof JobGivenUp r) {
            addJob(r.job(), jobs);
        } else if (record instanceof RunsEndedWithWorker r) {
            r.runs().forEach(run -> addJob(run.task().job(), jobs));
        } else if (record instanceof JobsEnded r) {
            r.jobs().forEach(ended -> addJob(ended.job(), jobs));
        } else if (record instanceof UnknownJobsCancelled r) {
            r.ids().forEach(id -> addJob(id.job(), jobs));
        }
    }

    private void addJob(String id, List<JobRecords> jobs) {
        JobRecords job = mJobs.computeIfAbsent(id, JobRecords::new);
        // The tasks of a job follow each other.
        boolean isLast = !jobs.isEmpty() && jobs.get(jobs.size() - 1) == job;
        if (!isLast && !jobs.contains(job)) {
            jobs.add(job);
        }
    }
}
