package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.foxtailplank.job.EarlyCancellations;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.CancelledId;
import org.foxtailplank.job.JournalRecord.EndedJob;
import org.foxtailplank.job.JournalRecord.JobsEnded;
import org.foxtailplank.job.JournalRecord.UnknownJobsCancelled;
import org.foxtailplank.node.Clock;

/**
 * Rewrites journal records that are still needed before the store's retention drops them.
 *
 * <p>Nodes keep nothing, so a fact whose last copy has expired is lost once every node has been
 * restarted. A fact is due when its newest copy may be older than a third of the retention. Due
 * facts are rewritten from the oldest copy on, and so many in each check that all facts are
 * rewritten within a sixth of the retention, whatever their number. So half of it remains for a
 * change of owner and a slow or unavailable store.
 *
 * <p>The age of a copy is known from the order of the journal and the monotonic clock of this node,
 * which don't depend on clocks that are stepped. Copies that a node read when it started have an
 * unknown age and are due, in the order in which they were read; successive owners thus continue
 * each other's work.
 */
final class JournalRefresher {
    /** Part of the retention after which a copy is due. */
    private static final int DUE_PER_RETENTION = 3;

    /** Part of the retention within which all facts can be rewritten. */
    private static final int ROUNDS_PER_RETENTION = 6;

    private static final int CHECKS_PER_RETENTION = 30;

    /** Bounds of the interval between checks, in milliseconds. */
    private static final long MIN_CHECK_INTERVAL_MS = 200;

    private static final long MAX_CHECK_INTERVAL_MS = 2000;

    /** Limits the size of a record, since appends to a slow link are small. */
    private static final int MAX_IDS_PER_RECORD = 250;

    private final OwnerContext mContext;
    private final OwnerJournal mJournal;
    private final BooleanSupplier mHasEnded;
    private final Clock mClock;
    private final JobRegistry mRegistry;
    private final long mRetentionMs;

    /** Jobs, wave facts and cancellations that are being rewritten. */
    private final Set<Object> mInFlight = new HashSet<>();

    /**
     * Creates a refresher.
     *
     * @param hasEnded whether the owner has ended and no longer writes
     */
    JournalRefresher(OwnerContext context, OwnerJournal journal, BooleanSupplier hasEnded) {
        mContext = context;
        mJournal = journal;
        mHasEnded = hasEnded;
        mClock = context.clock();
        mRegistry = context.reader().registry();
        mRetentionMs = context.settings().journal().retentionMs();
    }

    void start() {
        mContext.timers().after(checkIntervalMs(), this::check);
    }

    private long checkIntervalMs() {
        long intervalMs = mRetentionMs / CHECKS_PER_RETENTION;
        return Math.max(MIN_CHECK_INTERVAL_MS, Math.min(MAX_CHECK_INTERVAL_MS, intervalMs));
    }

    private long dueAgeMs() {
        return mRetentionMs / DUE_PER_RETENTION;
    }

    private void check() {
        if (mHasEnded.getAsBoolean()) {
            return;
        }
        start();
        mRegistry.waveFactsOlderThan(dueAgeMs(), mClock.nowMs()).forEach(this::rewriteWaveFact);
        selectDue(j -> !j.phase().isFinal()).forEach(this::rewriteJob);
        rewriteEndedJobs(selectDue(j -> j.phase().isFinal()));
        rewriteEarlyCancellations();
    }

    /** Selects the due jobs of a kind with the oldest copies. */
    private List<JobProgress> selectDue(Predicate<JobProgress> kind) {
        long now = mClock.nowMs();
        long total = 0;
        List<JobProgress> due = new ArrayList<>();
        for (JobProgress job : mRegistry.jobs()) {
            if (kind.test(job)) {
                total++;
                if (isDue(job, now)) {
                    due.add(job);
                }
            }
        }
        due.sort(Comparator.comparing(JobProgress::copy));
        return due.subList(0, (int) Math.min(due.size(), maxPerCheck(total)));
    }

    private long maxPerCheck(long total) {
        long roundMs = Math.max(1, mRetentionMs / ROUNDS_PER_RETENTION);
        return (total * checkIntervalMs() + roundMs - 1) / roundMs;
    }

    private boolean isDue(JobProgress job, long nowMs) {
        return job.copy().mayBeOlderThan(dueAgeMs(), nowMs)
                && !mInFlight.contains(job.definition().id())
                && !outlastsNeed(job, nowMs);
    }

    /** Whether the copy is retained until nobody asks for the job, with a margin. */
    private boolean outlastsNeed(JobProgress job, long nowMs) {
        long marginMs = dueAgeMs();
        return job.phase().isFinal()
                && !job.copy()
                        .mayBeOlderThan(
                                mRetentionMs
                                        - marginMs
                                        - mRegistry.remainingMs(job, mClock.wallMs()),
                                nowMs);
    }

    private void rewriteWaveFact(JournalRecord fact) {
        if (mInFlight.add(fact)) {
            Runnable completed = () -> mInFlight.remove(fact);
            mJournal.store(fact, completed, completed);
            mContext.metrics().counter("journal_rewritten_wave_facts").inc();
        }
    }

    private void rewriteJob(JobProgress job) {
        rewrite(job.snapshot(), List.of(job.definition().id()));
        mContext.metrics().counter("journal_rewritten_jobs").inc();
    }

    private void rewriteEndedJobs(List<JobProgress> jobs) {
        for (int from = 0; from < jobs.size(); from += MAX_IDS_PER_RECORD) {
            int to = Math.min(jobs.size(), from + MAX_IDS_PER_RECORD);
            List<EndedJob> summaries =
                    jobs.subList(from, to).stream().map(JobProgress::summarize).toList();
            rewrite(
                    new JobsEnded(summaries, mRegistry.configVersion()),
                    summaries.stream().map(EndedJob::job).toList());
            mContext.metrics().counter("journal_rewritten_ended_jobs").inc(summaries.size());
        }
    }

    private void rewriteEarlyCancellations() {
        EarlyCancellations cancellations = mRegistry.earlyCancellations();
        List<CancelledId> due =
                cancellations.olderThan(dueAgeMs(), mClock.nowMs()).stream()
                        .filter(i -> !mInFlight.contains(i))
                        .limit(maxPerCheck(cancellations.count()))
                        .toList();
        for (int from = 0; from < due.size(); from += MAX_IDS_PER_RECORD) {
            List<CancelledId> ids =
                    due.subList(from, Math.min(due.size(), from + MAX_IDS_PER_RECORD));
            mInFlight.addAll(ids);
            Runnable completed = () -> mInFlight.removeAll(ids);
            mJournal.store(new UnknownJobsCancelled(ids), completed, completed);
        }
    }

    /** Stores a copy of jobs, which counts once the store has confirmed all of it. */
    private void rewrite(JournalRecord record, Collection<String> jobs) {
        long takenMs = mClock.nowMs();
        mInFlight.addAll(jobs);
        mJournal.store(
                record,
                () -> {
                    mInFlight.removeAll(jobs);
                    jobs.forEach(j -> mRegistry.recordCopy(j, takenMs));
                },
                () -> mInFlight.removeAll(jobs));
    }
}
