package org.foxtailplank.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.job.JournalRecord.EndedRun;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.job.JournalRecord.JobRestated;
import org.foxtailplank.job.JournalRecord.OwnerAlive;
import org.foxtailplank.job.JournalRecord.OwnerLeft;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.JournalRecord.RunsStarted;
import org.foxtailplank.job.JournalRecord.StartedRun;
import org.foxtailplank.job.JournalRecord.VmRebooted;
import org.foxtailplank.job.JournalRecord.WaveCompleted;

/** All jobs that the journal tells of; each node keeps one and answers callers from it. */
public final class JobBook {
    private final Map<String, JobEntry> mJobs = new LinkedHashMap<>();
    private final Map<Long, Set<String>> mRebooted = new HashMap<>();
    private final Set<Long> mCompletedWaves = new HashSet<>();
    private final long mKeepEndedMs;

    /**
     * An empty book.
     *
     * @param keepEndedMs how long an ended job can be asked for, in milliseconds
     */
    public JobBook(long keepEndedMs) {
        mKeepEndedMs = keepEndedMs;
    }

    /** Takes one record in; returns the job that it newly tells of. */
    public Optional<JobEntry> apply(JournalRecord record) {
        if (record instanceof JobAccepted r) {
            JobEntry entry = new JobEntry(r.order());
            return mJobs.putIfAbsent(r.order().id(), entry) == null
                    ? Optional.of(entry)
                    : Optional.empty();
        }
        if (record instanceof JobRestated r) {
            return restated(r);
        }
        if (record instanceof JobCancelled r) {
            job(r.job()).ifPresent(j -> j.cancel(r.atMs()));
        } else if (record instanceof RunsEnded r) {
            for (EndedRun run : r.runs()) {
                job(run.task().job()).ifPresent(j -> j.ended(run));
            }
        } else if (record instanceof RunsStarted r) {
            for (StartedRun run : r.runs()) {
                job(run.task().job()).ifPresent(j -> j.started(run));
            }
        } else if (record instanceof VmRebooted r) {
            mRebooted.computeIfAbsent(r.wave(), w -> new HashSet<>()).add(r.vm());
        } else if (record instanceof WaveCompleted r) {
            mCompletedWaves.add(r.wave());
        } else if (!(record instanceof OwnerAlive || record instanceof OwnerLeft)) {
            throw new IllegalStateException("no rule for " + record.getClass());
        }
        return Optional.empty();
    }

    private Optional<JobEntry> restated(JobRestated record) {
        if (mJobs.containsKey(record.order().id())) {
            return Optional.empty();
        }
        JobEntry entry = new JobEntry(record.order());
        record.starts().forEach(entry::started);
        record.ends().forEach(entry::ended);
        if (record.cancelledMs() > 0) {
            entry.cancel(record.cancelledMs());
        }
        mJobs.put(record.order().id(), entry);
        return Optional.of(entry);
    }

    /** What the journal tells of waves, to be written again. */
    public List<JournalRecord> restateWaves() {
        List<JournalRecord> records = new ArrayList<>();
        mCompletedWaves.forEach(w -> records.add(new WaveCompleted(w)));
        mRebooted.forEach(
                (wave, vms) -> {
                    if (!mCompletedWaves.contains(wave)) {
                        vms.forEach(v -> records.add(new VmRebooted(wave, v)));
                    }
                });
        return records;
    }

    public Optional<JobEntry> job(String id) {
        return Optional.ofNullable(mJobs.get(id));
    }

    public Collection<JobEntry> jobs() {
        return mJobs.values();
    }

    /** VMs that have begun their reboot for a wave. */
    public Set<String> rebooted(long wave) {
        return mRebooted.getOrDefault(wave, Set.of());
    }

    /** Whether every VM of a wave has begun its reboot. */
    public boolean isCompleted(long wave) {
        return mCompletedWaves.contains(wave);
    }

    /** Accepted jobs of a queue for which no task has started. */
    public int pending(String route) {
        int count = 0;
        for (JobEntry j : mJobs.values()) {
            if (j.phase() == JobPhase.QUEUED && j.order().route().equals(route)) {
                count++;
            }
        }
        return count;
    }

    /** Forgets jobs that ended so long ago that nobody may ask for them any more. */
    public void forgetEnded(long nowMs) {
        mJobs.values().removeIf(j -> j.endedMs() > 0 && j.endedMs() + mKeepEndedMs < nowMs);
    }
}
