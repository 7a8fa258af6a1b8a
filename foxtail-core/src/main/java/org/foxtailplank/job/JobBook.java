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
import org.foxtailplank.job.JournalRecord.JobsBegun;
import org.foxtailplank.job.JournalRecord.OwnerAlive;
import org.foxtailplank.job.JournalRecord.OwnerLeft;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.JournalRecord.RunsStarted;
import org.foxtailplank.job.JournalRecord.StartedRun;
import org.foxtailplank.job.JournalRecord.VmRebooted;
import org.foxtailplank.job.JournalRecord.WaveCompleted;
import org.foxtailplank.job.JournalRecord.WaveDue;

/**
 * All jobs that the journal tells of; each node keeps one and answers callers from it.
 *
 * <p>Records of a job may come before the one that tells of the job, since the journal has two
 * partitions, each with an order of its own. They are kept until the job is known: without that a
 * new owner would not know of a start, and start the task a second time.
 */
public final class JobBook {
    /**
     * Jobs at most of which records are kept that came before them. Records of jobs that were
     * forgotten are never taken up; the oldest are dropped. A busy journal tells of some 50 jobs a
     * second, and what is told of them in a partition while another one is away for two minutes
     * must not be lost: a start that is dropped is one that a new owner repeats.
     */
    private static final int MOST_EARLY = 10_000;

    private final Map<String, JobEntry> mJobs = new LinkedHashMap<>();
    private final Map<Long, Set<String>> mRebooted = new HashMap<>();
    private final Map<Long, Long> mWavesDue = new HashMap<>();
    private final Set<Long> mCompletedWaves = new HashSet<>();
    private final Map<String, List<JournalRecord>> mEarly = new LinkedHashMap<>();
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
            return accepted(r.order());
        }
        if (record instanceof JobRestated r) {
            return restated(r);
        }
        if (record instanceof JobCancelled r) {
            job(r.job()).ifPresentOrElse(j -> j.cancel(r.atMs()), () -> keep(r.job(), r));
        } else if (record instanceof RunsEnded r) {
            for (EndedRun run : r.runs()) {
                String id = run.task().job();
                job(id).ifPresentOrElse(
                                j -> j.ended(run), () -> keep(id, new RunsEnded(List.of(run))));
            }
        } else if (record instanceof RunsStarted r) {
            for (StartedRun run : r.runs()) {
                String id = run.task().job();
                job(id).ifPresentOrElse(
                                j -> j.started(run), () -> keep(id, new RunsStarted(List.of(run))));
            }
        } else if (record instanceof JobsBegun r) {
            for (String id : r.jobs()) {
                job(id).ifPresentOrElse(
                                JobEntry::begun, () -> keep(id, new JobsBegun(List.of(id))));
            }
        } else if (record instanceof VmRebooted r) {
            mRebooted.computeIfAbsent(r.wave(), w -> new HashSet<>()).add(r.vm());
        } else if (record instanceof WaveDue r) {
            mWavesDue.merge(r.wave(), r.dueMs(), Math::min);
        } else if (record instanceof WaveCompleted r) {
            mCompletedWaves.add(r.wave());
        } else if (!(record instanceof OwnerAlive || record instanceof OwnerLeft)) {
            throw new IllegalStateException("no rule for " + record.getClass());
        }
        return Optional.empty();
    }

    private Optional<JobEntry> accepted(JobOrder order) {
        if (mJobs.containsKey(order.id())) {
            return Optional.empty();
        }
        return Optional.of(add(new JobEntry(order)));
    }

    private JobEntry add(JobEntry entry) {
        String id = entry.order().id();
        mJobs.put(id, entry);
        List<JournalRecord> early = mEarly.remove(id);
        if (early != null) {
            early.forEach(this::apply);
        }
        return entry;
    }

    /** Keeps a record for a job that isn't known yet. */
    private void keep(String id, JournalRecord record) {
        mEarly.computeIfAbsent(id, i -> new ArrayList<>()).add(record);
        if (mEarly.size() > MOST_EARLY) {
            mEarly.remove(mEarly.keySet().iterator().next());
        }
    }

    private Optional<JobEntry> restated(JobRestated record) {
        Optional<JobEntry> known = job(record.order().id());
        // A node that read on after a gap knows the job and lacks what the gap told of it.
        JobEntry entry = known.orElseGet(() -> new JobEntry(record.order()));
        record.starts().forEach(entry::started);
        record.ends().forEach(entry::ended);
        if (record.cancelledMs() > 0) {
            entry.cancel(record.cancelledMs());
        }
        return known.isPresent() ? Optional.empty() : Optional.of(add(entry));
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
        mWavesDue.forEach(
                (wave, due) -> {
                    if (!mCompletedWaves.contains(wave)) {
                        records.add(new WaveDue(wave, due));
                    }
                });
        return records;
    }

    /** When a wave's time is over, in milliseconds since 1970; empty if no owner has said so. */
    public Optional<Long> waveDueMs(long wave) {
        return Optional.ofNullable(mWavesDue.get(wave));
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
