package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.EndedJob;
import org.foxtailplank.job.JournalRecord.JobsEnded;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.NodeSettings.JournalLimits;
import org.foxtailplank.node.journal.RetainedRecord;
import org.foxtailplank.node.journal.RetainedRecord.JobRecords;
import org.foxtailplank.node.journal.RetainedRecords;

/**
 * Keeps the retained records of the journal few, so that a node that starts after the journal's
 * history has expired reads little.
 *
 * <p>The log retains each record until it is removed, so nothing is lost if no owner compacts the
 * journal. A job with several records of which one is old gets a copy of all its facts; the records
 * that the copy replaces are then removed, as are those of jobs that have been forgotten.
 *
 * <p>A job isn't copied while one of its records is being removed, and the other way round: a copy
 * that equals a removed record has the same key.
 */
final class JournalCompactor {
    /** Part of the retention after which a record is old. */
    private static final int OLD_PER_RETENTION = 3;

    /** Part of the retention within which all jobs can be copied. */
    private static final int ROUNDS_PER_RETENTION = 6;

    private static final int CHECKS_PER_RETENTION = 30;

    /** Bounds of the interval between checks, in milliseconds. */
    private static final long MIN_CHECK_INTERVAL_MS = 200;

    private static final long MAX_CHECK_INTERVAL_MS = 2000;

    /** Limits the size of a record, since appends to a slow link are small. */
    private static final int MAX_JOBS_PER_RECORD = 250;

    private final OwnerContext mContext;
    private final OwnerJournal mJournal;
    private final BooleanSupplier mHasEnded;
    private final Clock mClock;
    private final JobRegistry mRegistry;
    private final RetainedRecords mRetained;
    private final JournalLimits mLimits;

    /** Jobs whose copies are being stored, or aren't read yet. */
    private final Set<String> mCopying = new HashSet<>();

    private final List<StoredCopies> mStoredCopies = new ArrayList<>();

    /** Facts of an earlier version's journal that are being stored again. */
    private final Set<JournalRecord> mStoringFacts = new HashSet<>();

    /** Numbers of the records that are being removed. */
    private final Set<Long> mRemoving = new HashSet<>();

    /** How many records of a job are being removed. */
    private final Map<String, Integer> mRemovingByJob = new HashMap<>();

    /**
     * Copies that are stored.
     *
     * @param number number of the last record that had been read when the copies were taken
     * @param storedMs when the store confirmed them, on this node's monotonic clock in milliseconds
     */
    private record StoredCopies(List<String> jobs, long number, long storedMs) {}

    /**
     * Creates a compactor.
     *
     * @param hasEnded whether the owner has ended and no longer writes
     */
    JournalCompactor(OwnerContext context, OwnerJournal journal, BooleanSupplier hasEnded) {
        mContext = context;
        mJournal = journal;
        mHasEnded = hasEnded;
        mClock = context.clock();
        mRegistry = context.reader().registry();
        mRetained = context.reader().retained();
        mLimits = context.settings().journal();
    }

    void start() {
        mContext.timers().after(0, this::check);
    }

    private long checkIntervalMs() {
        long intervalMs = mLimits.retentionMs() / CHECKS_PER_RETENTION;
        return Math.max(MIN_CHECK_INTERVAL_MS, Math.min(MAX_CHECK_INTERVAL_MS, intervalMs));
    }

    private long oldAgeMs() {
        return mLimits.retentionMs() / OLD_PER_RETENTION;
    }

    private void check() {
        if (mHasEnded.getAsBoolean()) {
            return;
        }
        mContext.timers().after(checkIntervalMs(), this::check);
        recordReadCopies();
        long now = mClock.nowMs();
        List<RetainedRecord> dispensable = new ArrayList<>();
        Map<String, JobProgress> active = new LinkedHashMap<>();
        Map<String, JobProgress> ended = new LinkedHashMap<>();
        for (RetainedRecord record : mRetained.all()) {
            if (!record.isOlderThan(oldAgeMs(), now)) {
                continue;
            }
            if (!mRetained.isNeeded(record, now - mLimits.endedJobRetentionMs())) {
                dispensable.add(record);
                continue;
            }
            for (JobRecords job : record.jobs()) {
                selectForCopy(job, record, active, ended);
            }
        }
        long jobs = mRegistry.jobs().size();
        limited(active.values(), maxPerCheck(jobs)).forEach(this::copyActive);
        inParts(limited(ended.values(), maxPerCheck(jobs)), this::copyEnded);
        mRetained.earlierFacts().stream()
                .filter(mStoringFacts::add)
                .forEach(this::storeEarlierFact);
        remove(dispensable, maxPerCheck(mRetained.all().size()));
    }

    private void storeEarlierFact(JournalRecord fact) {
        mJournal.store(
                fact, () -> mRetained.earlierFactStored(fact), () -> mStoringFacts.remove(fact));
    }

    private void selectForCopy(
            JobRecords job,
            RetainedRecord record,
            Map<String, JobProgress> active,
            Map<String, JobProgress> ended) {
        String id = job.id();
        boolean isBusy = mCopying.contains(id) || mRemovingByJob.containsKey(id);
        boolean isOnlyRecord = job.count() < 2 && !record.isEarlier();
        if (isBusy || isOnlyRecord || job.isCopied(record)) {
            return;
        }
        mRegistry
                .job(id)
                .filter(j -> !isForgottenSoon(j))
                .ifPresent(j -> (j.phase().isFinal() ? ended : active).put(id, j));
    }

    /** Whether the records of a job will be removed before a copy of it is old. */
    private boolean isForgottenSoon(JobProgress job) {
        return job.phase().isFinal() && mRegistry.remainingMs(job, mClock.wallMs()) < oldAgeMs();
    }

    /** Number of items out of {@code total} per check, so that a round is in time. */
    private long maxPerCheck(long total) {
        long roundMs = Math.max(1, mLimits.retentionMs() / ROUNDS_PER_RETENTION);
        return (total * checkIntervalMs() + roundMs - 1) / roundMs;
    }

    private static <T> List<T> limited(Collection<T> items, long max) {
        return items.stream().limit(max).toList();
    }

    private void copyActive(JobProgress job) {
        storeCopies(job.snapshot(), List.of(job.definition().id()));
        mContext.metrics().counter("journal_rewritten_jobs").inc();
    }

    private void copyEnded(List<JobProgress> jobs) {
        List<EndedJob> summaries = jobs.stream().map(JobProgress::summarize).toList();
        storeCopies(
                new JobsEnded(summaries, mRegistry.configVersion()),
                summaries.stream().map(EndedJob::job).toList());
        mContext.metrics().counter("journal_rewritten_ended_jobs").inc(summaries.size());
    }

    /** Stores copies of jobs, which count once all of the record is stored and read. */
    private void storeCopies(JournalRecord record, List<String> jobs) {
        long number = mRetained.lastNumber();
        mCopying.addAll(jobs);
        mJournal.store(
                record,
                () -> mStoredCopies.add(new StoredCopies(jobs, number, mClock.nowMs())),
                () -> jobs.forEach(mCopying::remove));
    }

    /**
     * Records the copies that this node has read since they were stored. An unread one may have the
     * key of an earlier record, which then must not be removed.
     */
    private void recordReadCopies() {
        long completeMs = mContext.reader().completeMs();
        mStoredCopies.removeIf(
                c -> {
                    boolean isRead = c.storedMs() < completeMs;
                    if (isRead) {
                        mRetained.recordCopies(c.jobs(), c.number());
                        c.jobs().forEach(mCopying::remove);
                    }
                    return isRead;
                });
    }

    /** Removes records of jobs that aren't being copied. */
    private void remove(List<RetainedRecord> records, long max) {
        records.stream()
                .filter(r -> !mRemoving.contains(r.number()))
                .filter(r -> r.jobs().stream().noneMatch(j -> mCopying.contains(j.id())))
                .limit(Math.max(0, max - mRemoving.size()))
                .forEach(this::remove);
    }

    private void remove(RetainedRecord record) {
        if (record.isEarlier()) {
            mRetained.forgetEarlier(record);
            return;
        }
        mRemoving.add(record.number());
        record.jobs().forEach(j -> mRemovingByJob.merge(j.id(), 1, Integer::sum));
        mJournal.storeIn(record.partition(), record.removal(), () -> removalCompleted(record));
        mContext.metrics().counter("journal_removed_records").inc();
    }

    private void removalCompleted(RetainedRecord record) {
        mRemoving.remove(record.number());
        record.jobs()
                .forEach(
                        j ->
                                mRemovingByJob.computeIfPresent(
                                        j.id(), (id, n) -> n > 1 ? n - 1 : null));
    }

    private static <T> void inParts(List<T> items, Consumer<List<T>> action) {
        for (int from = 0; from < items.size(); from += MAX_JOBS_PER_RECORD) {
            action.accept(items.subList(from, Math.min(items.size(), from + MAX_JOBS_PER_RECORD)));
        }
    }
}
