package org.foxtailplank.node.owner;

import java.util.List;
import org.foxtailplank.job.JobEntry;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.JobsBegun;
import org.foxtailplank.node.Clock;

/**
 * Writes what still counts to the journal again before the platform drops it.
 *
 * <p>The platform keeps a record for some minutes. A node that starts later than that reads only
 * what was written since; without these records it would not know of a standing job, and would
 * reboot the VMs of a completed wave a second time.
 */
final class Restating {
    /** A record is written again when this share of its time is over. */
    private static final int SHARES = 3;

    /** How often to look for records that are due, in milliseconds. */
    private static final long LOOK_MS = 2000;

    /** Jobs that are told again at a time: a fraction of what one append may hold. */
    private static final int JOBS_AT_ONCE = 50;

    private final OwnerWork mOwner;
    private final OwnerParts mParts;
    private final Clock mClock;
    private long mWavesMs;

    Restating(OwnerWork owner, OwnerParts parts) {
        mOwner = owner;
        mParts = parts;
        mClock = parts.clock();
        mWavesMs = mClock.nowMs();
    }

    void start() {
        mParts.timers().after(LOOK_MS, this::look);
    }

    private void look() {
        if (mOwner.isOver()) {
            return;
        }
        start();
        long age = mParts.settings().journal().keepMs() / SHARES;
        restateJobs(age);
        if (mClock.nowMs() - mWavesMs > age) {
            mWavesMs = mClock.nowMs();
            mParts.reader().book().restateWaves().forEach(this::store);
        }
    }

    private void restateJobs(long ageMs) {
        int told = 0;
        long now = mClock.wallMs();
        for (JobEntry job : mParts.reader().book().jobs()) {
            if (told < JOBS_AT_ONCE && now - job.statedMs() > ageMs) {
                store(job.restate(now));
                if (job.hasBegun()) {
                    store(new JobsBegun(List.of(job.order().id())));
                }
                told++;
            }
        }
    }

    private void store(JournalRecord record) {
        mOwner.journal().store(record, () -> {});
    }
}
