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
import org.foxtailplank.job.JournalRecord.CancelledId;
import org.foxtailplank.job.JournalRecord.EndedJob;
import org.foxtailplank.job.JournalRecord.EndedRun;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.job.JournalRecord.JobGivenUp;
import org.foxtailplank.job.JournalRecord.JobSnapshot;
import org.foxtailplank.job.JournalRecord.JobsEnded;
import org.foxtailplank.job.JournalRecord.JobsStarted;
import org.foxtailplank.job.JournalRecord.OwnerHeartbeat;
import org.foxtailplank.job.JournalRecord.OwnerResigned;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.JournalRecord.RunsEndedWithWorker;
import org.foxtailplank.job.JournalRecord.RunsStarted;
import org.foxtailplank.job.JournalRecord.StartedRun;
import org.foxtailplank.job.JournalRecord.UnknownJobsCancelled;
import org.foxtailplank.job.JournalRecord.VmRebooted;
import org.foxtailplank.job.JournalRecord.WaveCompleted;
import org.foxtailplank.job.JournalRecord.WaveDue;

/**
 * Registry of all jobs, replayed from the journal. Each node holds one and serves callers from it.
 *
 * <p>The journal has several partitions without a common order, so records of a job may arrive
 * before the record that introduces the job. They are buffered until the job is known; otherwise a
 * new owner could miss a start and run the task a second time.
 */
public final class JobRegistry {
    /**
     * Maximum number of unknown jobs with buffered records; the oldest are evicted. Large enough
     * for all jobs of a partition outage of two minutes, at 50 jobs a second, since a new owner
     * would repeat a lost start.
     */
    private static final int MAX_BUFFERED_JOBS = 10_000;

    private final Map<String, JobProgress> mJobs = new LinkedHashMap<>();

    /** Jobs by queue, without those that have been found started or ended. */
    private final Map<String, List<JobProgress>> mPendingByQueue = new HashMap<>();

    private final Map<Long, Set<String>> mRebootedVms = new HashMap<>();
    private final Map<Long, Long> mWaveDueMs = new HashMap<>();
    private final Set<Long> mCompletedWaves = new HashSet<>();
    private final Map<String, List<JournalRecord>> mBufferedRecords = new LinkedHashMap<>();
    private final EarlyCancellations mEarlyCancellations;
    private final long mEndedRetentionMs;

    private long mConfigVersion;

    /** Latest acceptance of a job that is known by its summary only; wall time. */
    private long mSummarizedUntilMs = Long.MIN_VALUE;

    /**
     * Creates an empty registry.
     *
     * @param endedRetentionMs how long an ended job can be queried, in milliseconds
     */
    public JobRegistry(long endedRetentionMs) {
        mEndedRetentionMs = endedRetentionMs;
        mEarlyCancellations = new EarlyCancellations(endedRetentionMs);
    }

    /** Applies one record and returns the job it introduces, if any. */
    public Optional<JobProgress> apply(JournalRecord record) {
        if (record instanceof JobAccepted r) {
            return applyAccepted(r.definition());
        }
        if (record instanceof JobSnapshot r) {
            return applySnapshot(r);
        }
        if (record instanceof JobsEnded r) {
            mConfigVersion = Math.max(mConfigVersion, r.configVersion());
            r.jobs().forEach(this::applyEnded);
            return Optional.empty();
        }
        if (record instanceof UnknownJobsCancelled r) {
            r.ids().forEach(this::applyCancelled);
            return Optional.empty();
        }
        if (record instanceof JobCancelled r) {
            job(r.job()).ifPresentOrElse(j -> j.cancel(r.atMs()), () -> buffer(r.job(), r));
        } else if (record instanceof JobGivenUp r) {
            job(r.job()).ifPresentOrElse(j -> j.giveUp(r.atMs()), () -> buffer(r.job(), r));
        } else if (record instanceof RunsEnded r) {
            for (EndedRun run : r.runs()) {
                String id = run.task().job();
                job(id).ifPresentOrElse(
                                j -> j.recordEnd(run),
                                () -> buffer(id, new RunsEnded(List.of(run))));
            }
        } else if (record instanceof RunsStarted r) {
            for (StartedRun run : r.runs()) {
                String id = run.task().job();
                job(id).ifPresentOrElse(
                                j -> j.recordStart(run),
                                () -> buffer(id, new RunsStarted(List.of(run))));
            }
        } else if (record instanceof RunsEndedWithWorker r) {
            for (StartedRun run : r.runs()) {
                String id = run.task().job();
                job(id).ifPresentOrElse(
                                j -> j.recordEndWithWorker(run),
                                () -> buffer(id, new RunsEndedWithWorker(List.of(run))));
            }
        } else if (record instanceof JobsStarted r) {
            for (String id : r.jobs()) {
                job(id).ifPresentOrElse(
                                JobProgress::markStarted,
                                () -> buffer(id, new JobsStarted(List.of(id))));
            }
        } else if (record instanceof VmRebooted
                || record instanceof WaveDue
                || record instanceof WaveCompleted) {
            applyWaveFact(record);
        } else if (!(record instanceof OwnerHeartbeat || record instanceof OwnerResigned)) {
            throw new IllegalStateException("unsupported journal record " + record.getClass());
        }
        return Optional.empty();
    }

    private void applyWaveFact(JournalRecord record) {
        if (record instanceof VmRebooted r) {
            mRebootedVms.computeIfAbsent(r.wave(), w -> new HashSet<>()).add(r.vm());
        } else if (record instanceof WaveDue r) {
            mWaveDueMs.merge(r.wave(), r.dueMs(), Math::min);
        } else if (record instanceof WaveCompleted r) {
            mCompletedWaves.add(r.wave());
        }
    }

    private Optional<JobProgress> applyAccepted(JobDefinition definition) {
        if (mJobs.containsKey(definition.id())) {
            return Optional.empty();
        }
        return Optional.of(add(new JobProgress(definition)));
    }

    private JobProgress add(JobProgress progress) {
        mConfigVersion = Math.max(mConfigVersion, progress.definition().configVersion());
        String id = progress.definition().id();
        mJobs.put(id, progress);
        mPendingByQueue
                .computeIfAbsent(progress.definition().route(), r -> new ArrayList<>())
                .add(progress);
        List<JournalRecord> buffered = mBufferedRecords.remove(id);
        if (buffered != null) {
            buffered.forEach(this::apply);
        }
        mEarlyCancellations.take(progress.definition()).ifPresent(c -> progress.cancel(c.atMs()));
        return progress;
    }

    /** Cancels a job that its caller's node didn't know, now or once it is introduced. */
    private void applyCancelled(CancelledId id) {
        Optional<JobProgress> known = job(id.job());
        if (known.isEmpty()) {
            mEarlyCancellations.add(id);
        } else if (id.applies(known.get().definition())) {
            known.get().cancel(id.atMs());
        }
    }

    /** Cancellations of jobs that aren't known yet. */
    public EarlyCancellations earlyCancellations() {
        return mEarlyCancellations;
    }

    /** Applies the summary of a job that has ended, of which this node may lack the end. */
    private void applyEnded(EndedJob ended) {
        Optional<JobProgress> known = job(ended.job());
        JobProgress progress = known.orElseGet(() -> new JobProgress(ended.definition()));
        progress.end(ended.phase(), ended.endedMs());
        if (known.isEmpty()) {
            mSummarizedUntilMs = Math.max(mSummarizedUntilMs, ended.acceptedMs());
            add(progress);
        }
    }

    /** Buffers a record of a job that isn't known yet. */
    private void buffer(String id, JournalRecord record) {
        mBufferedRecords.computeIfAbsent(id, i -> new ArrayList<>()).add(record);
        if (mBufferedRecords.size() > MAX_BUFFERED_JOBS) {
            mBufferedRecords.remove(mBufferedRecords.keySet().iterator().next());
        }
    }

    private Optional<JobProgress> applySnapshot(JobSnapshot record) {
        Optional<JobProgress> known = job(record.definition().id());
        // After a gap in the journal, a known job may lack records that the snapshot contains.
        JobProgress progress = known.orElseGet(() -> new JobProgress(record.definition()));
        if (record.started()) {
            progress.markStarted();
        }
        progress.recordDoneRuns(record.doneRuns());
        record.starts().forEach(progress::recordStart);
        record.ends().forEach(progress::recordEnd);
        record.endedWithWorker().forEach(progress::recordEndWithWorker);
        if (record.cancelledMs() > 0) {
            progress.cancel(record.cancelledMs());
        }
        if (record.givenUpMs() > 0) {
            progress.giveUp(record.givenUpMs());
        }
        return known.isEmpty() ? Optional.of(add(progress)) : Optional.empty();
    }

    /** Deadline of a wave, in milliseconds since the epoch; empty if no owner has recorded it. */
    public Optional<Long> waveDueMs(long wave) {
        return Optional.ofNullable(mWaveDueMs.get(wave));
    }

    /** Newest version of the configuration by which a job was accepted; 0 if unknown. */
    public long configVersion() {
        return mConfigVersion;
    }

    public Optional<JobProgress> job(String id) {
        return Optional.ofNullable(mJobs.get(id));
    }

    public Collection<JobProgress> jobs() {
        return mJobs.values();
    }

    /** VMs whose reboot for a wave has begun. */
    public Set<String> rebooted(long wave) {
        return mRebootedVms.getOrDefault(wave, Set.of());
    }

    /** Whether every VM of a wave has begun its reboot. */
    public boolean isCompleted(long wave) {
        return mCompletedWaves.contains(wave);
    }

    /**
     * Number of accepted jobs of a queue of which no task has started. Started jobs never return to
     * the queue, so each job is visited once more after its start; a scan of all jobs took a
     * millisecond for each request with a few thousand retained ones.
     */
    public int pending(String route) {
        List<JobProgress> pending = mPendingByQueue.get(route);
        if (pending == null) {
            return 0;
        }
        removeStarted(pending);
        return pending.size();
    }

    private static void removeStarted(List<JobProgress> pending) {
        pending.removeIf(j -> j.phase() != JobPhase.QUEUED);
    }

    /**
     * Wall time since which every accepted job is kept with its definition. Ended ones are removed
     * later, and a node that started after them knows only their summaries.
     */
    public long completeSinceMs(long nowMs) {
        return Math.max(nowMs - mEndedRetentionMs, mSummarizedUntilMs + 1);
    }

    /** How much longer an ended job must be known, in milliseconds. */
    public long remainingMs(JobProgress ended, long nowMs) {
        return ended.endedMs() + mEndedRetentionMs - nowMs;
    }

    /** Removes ended jobs whose retention period is over. */
    public void removeExpired(long nowMs) {
        mJobs.values().removeIf(j -> j.endedMs() > 0 && remainingMs(j, nowMs) < 0);
        mPendingByQueue.values().forEach(JobRegistry::removeStarted);
        mEarlyCancellations.removeExpired(nowMs);
    }
}
