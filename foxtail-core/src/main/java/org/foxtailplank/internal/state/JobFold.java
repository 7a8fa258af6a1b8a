package org.foxtailplank.internal.state;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.id.JobId;
import org.foxtailplank.state.JobCancelled;
import org.foxtailplank.state.JobChange;
import org.foxtailplank.state.JobState;
import org.foxtailplank.state.JobSubmitted;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.TaskAction;
import org.foxtailplank.state.TaskConfirmed;
import org.foxtailplank.state.TaskIntended;
import org.foxtailplank.state.TaskOutcome;
import org.foxtailplank.state.TaskState;
import org.foxtailplank.state.Verdict;
import org.foxtailplank.state.VoidReason;

/** Folds changes of jobs and their tasks. */
public final class JobFold {
    /** Maximum number of ended jobs that are retained. */
    private static final int MAX_ENDED = 1_000;

    private final FleetIndex mIndex;
    private final Map<JobId, JobState> mJobs = new LinkedHashMap<>();
    private final Map<JobId, TaskCounts> mProgress = new HashMap<>();
    private final Set<JobId> mEnded = new LinkedHashSet<>();

    public JobFold(FleetIndex index) {
        mIndex = index;
    }

    public Optional<JobState> job(JobId id) {
        return Optional.ofNullable(mJobs.get(id));
    }

    public Collection<JobState> jobs() {
        return Collections.unmodifiableCollection(mJobs.values());
    }

    public Verdict apply(long offset, JobChange change) {
        if (change instanceof JobSubmitted c) {
            return applySubmitted(offset, c);
        }
        JobState job = mJobs.get(change.job());
        if (job == null) {
            return Verdicts.unknown(ObjectKey.of(change.job()));
        }
        if (change instanceof JobCancelled) {
            return applyCancelled(offset, job);
        } else if (change instanceof TaskIntended c) {
            return c.action() == TaskAction.START
                    ? applyStart(offset, job, c)
                    : applyAction(offset, job, c);
        } else if (change instanceof TaskConfirmed c) {
            return applyConfirmed(offset, job, c);
        }
        throw new IllegalStateException("unsupported change: " + change);
    }

    private Verdict applySubmitted(long offset, JobSubmitted c) {
        if (mJobs.containsKey(c.job())) {
            return Verdicts.exists(ObjectKey.of(c.job()));
        }
        if (mIndex.pool(c.spec().pool()).isEmpty()) {
            return Verdicts.unknown(ObjectKey.of(c.spec().pool()));
        }
        if (c.spec().tasks() < 1) {
            return Verdicts.malformed("job " + c.job() + " has no task");
        }
        put(new JobState(c.job(), c.spec(), false, new HashMap<>(), offset));
        return Verdict.APPLIED;
    }

    private Verdict applyCancelled(long offset, JobState job) {
        if (job.cancelled() || mEnded.contains(job.id())) {
            return Verdicts.wrongPhase("job " + job.id() + " has ended");
        }
        put(new JobState(job.id(), job.spec(), true, job.tasks(), offset));
        return Verdict.APPLIED;
    }

    private Verdict applyStart(long offset, JobState job, TaskIntended c) {
        TaskState t = job.tasks().get(c.task());
        long attempt = t == null ? 0 : t.attempt();
        if (c.task() < 0 || c.task() >= job.spec().tasks()) {
            return Verdicts.malformed("job " + job.id() + " has no task " + c.task());
        }
        if (c.attempt() != attempt + 1) {
            return staleAttempt(job, c.task(), attempt + 1);
        }
        if (mIndex.vm(c.worker()).isEmpty()) {
            return Verdicts.unknown(ObjectKey.of(c.worker()));
        }
        boolean free = t == null || t.outcome().map(JobFold::isRetryable).orElse(false);
        if (job.cancelled() || !free) {
            return Verdicts.wrongPhase(
                    "job "
                            + job.id()
                            + (job.cancelled() ? " is cancelled" : " has placed the task already"));
        }
        return putTask(
                offset,
                job,
                c.task(),
                new TaskState(c.worker(), c.attempt(), c.action(), Optional.empty()));
    }

    /** Returns whether another attempt may follow one with this outcome. */
    private static boolean isRetryable(TaskOutcome outcome) {
        return outcome.isEnded() && outcome != TaskOutcome.SUCCEEDED;
    }

    private Verdict applyAction(long offset, JobState job, TaskIntended c) {
        TaskState t = job.tasks().get(c.task());
        if (t == null || t.attempt() != c.attempt() || !t.worker().equals(c.worker())) {
            return staleAttempt(job, c.task(), t == null ? 0 : t.attempt());
        }
        if (t.outcome().map(TaskOutcome::isEnded).orElse(false)) {
            return Verdicts.wrongPhase("job " + job.id() + ": task " + c.task() + " has ended");
        }
        return putTask(
                offset,
                job,
                c.task(),
                new TaskState(t.worker(), t.attempt(), c.action(), t.outcome()));
    }

    private Verdict applyConfirmed(long offset, JobState job, TaskConfirmed c) {
        TaskState t = job.tasks().get(c.task());
        if (t == null || t.attempt() != c.attempt() || !t.worker().equals(c.worker())) {
            return staleAttempt(job, c.task(), t == null ? 0 : t.attempt());
        }
        boolean ended = t.outcome().map(TaskOutcome::isEnded).orElse(false);
        if (ended || t.outcome().equals(Optional.of(c.outcome()))) {
            return Verdicts.wrongPhase(
                    "job "
                            + job.id()
                            + ": task "
                            + c.task()
                            + " already has this outcome or has ended");
        }
        return putTask(
                offset,
                job,
                c.task(),
                new TaskState(t.worker(), t.attempt(), t.action(), Optional.of(c.outcome())));
    }

    /** Updates a task, which gives its job a new version. */
    private Verdict putTask(long offset, JobState job, int index, TaskState task) {
        TaskState before = job.tasks().put(index, task);
        TaskCounts p = mProgress.get(job.id());
        if (before != null) {
            p.count(before, -1);
        }
        p.count(task, 1);
        put(new JobState(job.id(), job.spec(), job.cancelled(), job.tasks(), offset));
        return Verdict.APPLIED;
    }

    /** Restores a job from a snapshot. */
    public void restore(JobState job) {
        TaskCounts p = new TaskCounts();
        job.tasks().values().forEach(t -> p.count(t, 1));
        mProgress.put(job.id(), p);
        put(
                new JobState(
                        job.id(),
                        job.spec(),
                        job.cancelled(),
                        new HashMap<>(job.tasks()),
                        job.version()));
    }

    private void put(JobState job) {
        mJobs.put(job.id(), job);
        TaskCounts p = mProgress.computeIfAbsent(job.id(), id -> new TaskCounts());
        boolean over = p.mSucceeded == job.spec().tasks() || (job.cancelled() && p.mActive == 0);
        if (over && mEnded.add(job.id()) && mEnded.size() > MAX_ENDED) {
            JobId oldest = mEnded.iterator().next();
            mEnded.remove(oldest);
            mJobs.remove(oldest);
            mProgress.remove(oldest);
        }
    }

    private static Verdict staleAttempt(JobState job, int task, long wanted) {
        return Verdict.refused(
                VoidReason.STALE_VERSION,
                "job %s: task %d is at attempt %d".formatted(job.id(), task, wanted));
    }

    /** Task counts of one job; detect its end without a scan of its tasks. */
    private static final class TaskCounts {
        private int mActive;
        private int mSucceeded;

        private void count(TaskState task, int by) {
            if (!task.outcome().map(TaskOutcome::isEnded).orElse(false)) {
                mActive += by;
            } else if (task.outcome().get() == TaskOutcome.SUCCEEDED) {
                mSucceeded += by;
            }
        }
    }
}
