package org.foxtailplank.node.owner;

import java.util.List;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.JobsStarted;
import org.foxtailplank.job.JournalRecord.RunsEndedWithWorker;
import org.foxtailplank.node.Clock;

/**
 * Rewrites journal records that are still needed before the store's retention drops them.
 *
 * <p>Without this a node that starts later would not know of standing jobs, and would reboot the
 * VMs of a completed wave a second time.
 */
final class JournalRefresher {
    /** How often a record is rewritten within the retention time. */
    private static final int REWRITES_PER_RETENTION = 3;

    /** How often to check for records to rewrite, in milliseconds. */
    private static final long CHECK_INTERVAL_MS = 2000;

    /** Limits the records written by one check to a fraction of what an append may hold. */
    private static final int MAX_JOBS_PER_CHECK = 50;

    private final OwnerSession mOwner;
    private final OwnerContext mContext;
    private final Clock mClock;
    private long mWavesRewrittenMs;

    JournalRefresher(OwnerSession owner, OwnerContext context) {
        mOwner = owner;
        mContext = context;
        mClock = context.clock();
        mWavesRewrittenMs = mClock.nowMs();
    }

    void start() {
        mContext.timers().after(CHECK_INTERVAL_MS, this::check);
    }

    private void check() {
        if (mOwner.hasEnded()) {
            return;
        }
        start();
        long age = mContext.settings().journal().retentionMs() / REWRITES_PER_RETENTION;
        rewriteJobs(age);
        if (mClock.nowMs() - mWavesRewrittenMs > age) {
            mWavesRewrittenMs = mClock.nowMs();
            mContext.reader().registry().snapshotWaves().forEach(this::store);
        }
    }

    private void rewriteJobs(long ageMs) {
        int rewritten = 0;
        long now = mClock.wallMs();
        for (JobProgress job : mContext.reader().registry().jobs()) {
            if (rewritten < MAX_JOBS_PER_CHECK && now - job.snapshotMs() > ageMs) {
                store(job.snapshot(now));
                if (job.hasStarted()) {
                    store(new JobsStarted(List.of(job.definition().id())));
                }
                if (!job.endedWithWorker().isEmpty()) {
                    store(new RunsEndedWithWorker(List.copyOf(job.endedWithWorker())));
                }
                rewritten++;
            }
        }
    }

    private void store(JournalRecord record) {
        mOwner.journal().store(record, () -> {});
    }
}
