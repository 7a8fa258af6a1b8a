package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongUnaryOperator;
import java.util.function.Predicate;
import org.foxtailplank.job.EarlyCancellations;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.job.JournalCopy;
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
 * <p>Facts whose copies may be older than half of the retention are overdue. They are rewritten in
 * bursts, each as soon as the store has confirmed the one before and the link was idle as long, as
 * this owner may not last until the next check.
 *
 * <p>The age of a copy is known from the order of the journal and the monotonic clock of this node,
 * which don't depend on clocks that are stepped. Copies that a node read when it started have an
 * unknown age and are overdue, in the order in which they were read; successive owners thus
 * continue each other's work.
 */
final class JournalRefresher {
    /** Part of the retention after which a copy is due. */
    private static final int DUE_PER_RETENTION = 3;

    /** Part of the retention after which a copy is overdue. */
    private static final int OVERDUE_PER_RETENTION = 2;

    /** Part of the retention within which all facts can be rewritten. */
    private static final int ROUNDS_PER_RETENTION = 6;

    private static final int CHECKS_PER_RETENTION = 30;

    /** Bounds of the interval between checks, in milliseconds. */
    private static final long MIN_CHECK_INTERVAL_MS = 200;

    private static final long MAX_CHECK_INTERVAL_MS = 2000;

    /** Limits the size of a record, since appends to a slow link are small. */
    private static final int MAX_IDS_PER_RECORD = 250;

    /** Limits of a burst: the jobs that are rewritten in full, and the other facts. */
    private static final int MAX_JOBS_PER_BURST = 100;

    private static final int MAX_IDS_PER_BURST = 1000;

    private static final long MIN_BURST_PAUSE_MS = 20;

    private final OwnerContext mContext;
    private final OwnerJournal mJournal;
    private final BooleanSupplier mHasEnded;
    private final Clock mClock;
    private final JobRegistry mRegistry;
    private final long mRetentionMs;

    /** Jobs, wave facts and cancellations that are being rewritten. */
    private final Set<Object> mInFlight = new HashSet<>();

    private int mUnconfirmed;
    private boolean mBursting;
    private boolean mPausing;
    private long mBurstStartMs;

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
        mContext.timers().after(0, this::check);
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
        mContext.timers().after(checkIntervalMs(), this::check);
        logOldestCopy();
        mRegistry.waveFactsOlderThan(dueAgeMs(), mClock.nowMs()).forEach(this::rewriteWaveFact);
        rewriteOlderThan(dueAgeMs(), this::maxPerCheck, this::maxPerCheck);
        if (!mBursting) {
            burst();
        }
    }

    /** Logs the age of the oldest copy of an active job, and how many have an unknown age. */
    private void logOldestCopy() {
        long now = mClock.nowMs();
        long oldestMs = 0;
        long unknown = 0;
        for (JobProgress job : mRegistry.jobs()) {
            if (job.phase().isFinal()) {
                continue;
            }
            if (job.copy().sinceMs() == JournalCopy.UNKNOWN_MS) {
                unknown++;
            } else {
                oldestMs = Math.max(oldestMs, now - job.copy().sinceMs());
            }
        }
        if (unknown > 0 || oldestMs > dueAgeMs()) {
            mContext.log()
                    .line("journal-copies")
                    .with("oldestMs", oldestMs)
                    .with("unknownAge", unknown)
                    .with("retentionMs", mRetentionMs)
                    .write();
        }
    }

    /** Rewrites some of the overdue facts, and others once the store has confirmed them. */
    private void burst() {
        mPausing = false;
        mBurstStartMs = mClock.nowMs();
        long overdueMs = mRetentionMs / OVERDUE_PER_RETENTION;
        mBursting =
                !mHasEnded.getAsBoolean()
                        && rewriteOlderThan(
                                overdueMs, t -> MAX_JOBS_PER_BURST, t -> MAX_IDS_PER_BURST);
    }

    private void continueBurst() {
        if (mBursting && !mPausing && mUnconfirmed == 0) {
            mPausing = true;
            long tookMs = mClock.nowMs() - mBurstStartMs;
            mContext.timers().after(Math.max(MIN_BURST_PAUSE_MS, tookMs), this::burst);
        }
    }

    /**
     * Rewrites facts with old copies, from the oldest copy on.
     *
     * @param maxJobs largest number of jobs that are rewritten in full, by that of all active ones
     * @param maxIds the same for ended jobs, and for early cancellations
     * @return whether any fact is rewritten
     */
    private boolean rewriteOlderThan(
            long ageMs, LongUnaryOperator maxJobs, LongUnaryOperator maxIds) {
        List<JobProgress> active = selectJobs(j -> !j.phase().isFinal(), ageMs, maxJobs);
        List<JobProgress> ended = selectJobs(j -> j.phase().isFinal(), ageMs, maxIds);
        List<CancelledId> cancelled = selectEarlyCancellations(ageMs, maxIds);
        active.forEach(this::rewriteJob);
        inParts(ended, this::rewriteEndedJobs);
        inParts(cancelled, ids -> rewrite(new UnknownJobsCancelled(ids), ids, () -> {}));
        return !active.isEmpty() || !ended.isEmpty() || !cancelled.isEmpty();
    }

    private List<JobProgress> selectJobs(
            Predicate<JobProgress> kind, long ageMs, LongUnaryOperator max) {
        long now = mClock.nowMs();
        long total = 0;
        List<JobProgress> old = new ArrayList<>();
        for (JobProgress job : mRegistry.jobs()) {
            if (kind.test(job)) {
                total++;
                if (mustRewrite(job, ageMs, now)) {
                    old.add(job);
                }
            }
        }
        old.sort(Comparator.comparing(JobProgress::copy));
        return old.subList(0, (int) Math.min(old.size(), max.applyAsLong(total)));
    }

    private List<CancelledId> selectEarlyCancellations(long ageMs, LongUnaryOperator max) {
        EarlyCancellations cancellations = mRegistry.earlyCancellations();
        return cancellations.olderThan(ageMs, mClock.nowMs()).stream()
                .filter(i -> !mInFlight.contains(i))
                .limit(max.applyAsLong(cancellations.count()))
                .toList();
    }

    /** Number of facts out of {@code total} to rewrite in a check, so that a round is in time. */
    private long maxPerCheck(long total) {
        long roundMs = Math.max(1, mRetentionMs / ROUNDS_PER_RETENTION);
        return (total * checkIntervalMs() + roundMs - 1) / roundMs;
    }

    private boolean mustRewrite(JobProgress job, long ageMs, long nowMs) {
        return job.copy().mayBeOlderThan(ageMs, nowMs)
                && !mInFlight.contains(job.definition().id())
                && !outlastsNeed(job, nowMs);
    }

    /** Whether the copy is retained until nobody asks for the job, with a margin. */
    private boolean outlastsNeed(JobProgress job, long nowMs) {
        if (!job.phase().isFinal()) {
            return false;
        }
        long neededMs = mRegistry.remainingMs(job, mClock.wallMs()) + dueAgeMs();
        return !job.copy().mayBeOlderThan(mRetentionMs - neededMs, nowMs);
    }

    private void rewriteWaveFact(JournalRecord fact) {
        if (!mInFlight.contains(fact)) {
            rewrite(fact, List.of(fact), () -> {});
            mContext.metrics().counter("journal_rewritten_wave_facts").inc();
        }
    }

    private void rewriteJob(JobProgress job) {
        rewriteJobs(job.snapshot(), List.of(job.definition().id()));
        mContext.metrics().counter("journal_rewritten_jobs").inc();
    }

    private void rewriteEndedJobs(List<JobProgress> jobs) {
        List<EndedJob> summaries = jobs.stream().map(JobProgress::summarize).toList();
        rewriteJobs(
                new JobsEnded(summaries, mRegistry.configVersion()),
                summaries.stream().map(EndedJob::job).toList());
        mContext.metrics().counter("journal_rewritten_ended_jobs").inc(summaries.size());
    }

    /** Stores a copy of jobs, which counts once the store has confirmed all of it. */
    private void rewriteJobs(JournalRecord record, List<String> jobs) {
        long takenMs = mClock.nowMs();
        rewrite(record, jobs, () -> jobs.forEach(j -> mRegistry.recordCopy(j, takenMs)));
    }

    private void rewrite(JournalRecord record, List<?> facts, Runnable stored) {
        mInFlight.addAll(facts);
        mUnconfirmed++;
        Runnable completed =
                () -> {
                    facts.forEach(mInFlight::remove);
                    mUnconfirmed--;
                    continueBurst();
                };
        mJournal.store(
                record,
                () -> {
                    stored.run();
                    completed.run();
                },
                completed);
    }

    private static <T> void inParts(List<T> facts, Consumer<List<T>> rewrite) {
        for (int from = 0; from < facts.size(); from += MAX_IDS_PER_RECORD) {
            rewrite.accept(facts.subList(from, Math.min(facts.size(), from + MAX_IDS_PER_RECORD)));
        }
    }
}
