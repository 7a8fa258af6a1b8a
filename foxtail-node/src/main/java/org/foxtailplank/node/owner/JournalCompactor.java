package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.Collection;
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

    /** Jobs whose copies are being stored. */
    private final Set<String> mCopying = new HashSet<>();

    /** Facts of an earlier version's journal that are being stored again. */
    private final Set<JournalRecord> mStoringFacts = new HashSet<>();

    /** Numbers of the records that are being removed. */
    private final Set<Long> mRemoving = new HashSet<>();

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
        long now = mClock.nowMs();
        List<RetainedRecord> dispensable = new ArrayList<>();
        Map<String, JobProgress> active = new LinkedHashMap<>();
        Map<String, JobProgress> ended = new LinkedHashMap<>();
        mRetained
                .all()
                .filter(r -> r.isOlderThan(oldAgeMs(), now))
                .forEach(
                        r -> {
                            if (!mRetained.isNeeded(r, now - mLimits.endedJobRetentionMs())) {
                                dispensable.add(r);
                            } else {
                                r.jobs().forEach(j -> selectForCopy(j, r, active, ended));
                            }
                        });
        long jobs = mRegistry.jobs().size();
        limited(active.values(), maxPerCheck(jobs)).forEach(this::copyActive);
        inParts(limited(ended.values(), maxPerCheck(jobs)), this::copyEnded);
        mRetained.earlierFacts().stream()
                .filter(mStoringFacts::add)
                .forEach(this::storeEarlierFact);
        remove(dispensable, maxPerCheck(mRetained.count()));
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
        boolean isOnlyRecord = job.count() < 2 && !record.isEarlier();
        if (isOnlyRecord || job.isCopied(record) || mCopying.contains(id)) {
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

    /** Stores copies of jobs, which count once the store has confirmed all of the record. */
    private void storeCopies(JournalRecord record, List<String> jobs) {
        long number = mRetained.lastNumber();
        mCopying.addAll(jobs);
        mJournal.store(
                record,
                () -> {
                    mRetained.recordCopies(jobs, number);
                    jobs.forEach(mCopying::remove);
                },
                () -> jobs.forEach(mCopying::remove));
    }

    private void remove(List<RetainedRecord> records, long max) {
        records.stream()
                .filter(r -> !mRemoving.contains(r.number()))
                .limit(Math.max(0, max - mRemoving.size()))
                .forEach(this::remove);
    }

    private void remove(RetainedRecord record) {
        if (record.isEarlier()) {
            mRetained.forgetEarlier(record);
            return;
        }
        long number = record.number();
        mRemoving.add(number);
        mJournal.storeIn(record.partition(), record.removal(), () -> mRemoving.remove(number));
        mContext.metrics().counter("journal_removed_records").inc();
    }

    private static <T> void inParts(List<T> items, Consumer<List<T>> action) {
        for (int from = 0; from < items.size(); from += MAX_JOBS_PER_RECORD) {
            action.accept(items.subList(from, Math.min(items.size(), from + MAX_JOBS_PER_RECORD)));
        }
    }
}
