package org.foxtailplank.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.soak.SoakEvent.Acknowledged;
import org.foxtailplank.soak.SoakEvent.Ended;
import org.foxtailplank.soak.SoakEvent.Started;
import org.foxtailplank.soak.SoakEvent.Submitted;

/** What is known of jobs and runs up to a moment of a history. */
final class RunsSeen {
    private static final String DONE = "done";
    private static final String GONE = "gone";

    private final Map<String, SoakJob> mJobs = new HashMap<>();
    private final Map<String, Set<String>> mRunning = new HashMap<>();
    private final Map<String, Long> mSinceMs = new HashMap<>();
    private final Map<String, Long> mEndedMs = new HashMap<>();
    private final Map<String, Set<Integer>> mDone = new HashMap<>();
    private final Set<String> mNoted = new HashSet<>();
    private final Map<String, Integer> mCrashes = new HashMap<>();
    private final Map<String, Map<String, Long>> mProcessors = new HashMap<>();
    private final Map<String, List<SoakEvent.CapacityChanged>> mCapacities = new HashMap<>();
    private final Map<String, SoakEvent.WorkerStarted> mWorkers = new HashMap<>();
    private final Set<String> mExecutedLate = new HashSet<>();

    /** Takes an event in. */
    void take(SoakEvent event) {
        if (event instanceof Submitted e) {
            mJobs.put(e.job().id(), e.job());
        } else if (event instanceof SoakEvent.WorkerStarted e) {
            mWorkers.put(e.worker(), e);
            mCapacities.remove(e.worker());
        } else if (event instanceof SoakEvent.WorkerEnded e) {
            mWorkers.remove(e.worker());
        } else if (event instanceof SoakEvent.ExecutedLate e) {
            mExecutedLate.add(run(e.task(), e.attempt()));
        } else if (event instanceof Started e) {
            running(e.task()).add(e.worker());
            processorsOn(e.worker()).put(e.task(), SoakEvent.processorsOf(e.text()));
            mSinceMs.put(e.task(), e.atMs());
        } else if (event instanceof Ended e) {
            running(e.task()).remove(e.worker());
            processorsOn(e.worker()).remove(e.task());
            mEndedMs.put(e.task(), e.atMs());
            if (e.how().equals(GONE)) {
                mCrashes.merge(e.task(), 1, Integer::sum);
            }
            if (e.how().equals(DONE)) {
                mDone.computeIfAbsent(e.task(), t -> new HashSet<>()).add(e.attempt());
            }
        } else if (event instanceof Acknowledged e && e.how().equals(DONE)) {
            mNoted.add(e.task());
        }
    }

    private Set<String> running(String task) {
        return mRunning.computeIfAbsent(task, t -> new HashSet<>());
    }

    private Map<String, Long> processorsOn(String worker) {
        return mProcessors.computeIfAbsent(worker, w -> new HashMap<>());
    }

    /** Number of runs of a task that ended with their workers. */
    int crashes(String task) {
        return mCrashes.getOrDefault(task, 0);
    }

    /** Processors that the runs on a worker use, in thousandths. */
    long processors(String worker) {
        return processorsOn(worker).values().stream().mapToLong(Long::longValue).sum();
    }

    /** Processors that all runs of an organisation use, in thousandths. */
    long processorsOf(String organisation) {
        long sum = 0;
        for (Map<String, Long> runs : mProcessors.values()) {
            for (Map.Entry<String, Long> run : runs.entrySet()) {
                String job = SoakEvent.jobOf(run.getKey());
                sum += SoakOrganisations.of(job).equals(organisation) ? run.getValue() : 0;
            }
        }
        return sum;
    }

    void note(SoakEvent.CapacityChanged change) {
        mCapacities.computeIfAbsent(change.worker(), w -> new ArrayList<>()).add(change);
    }

    /** The highest capacity that a worker has had since a time, in thousandths. */
    long capacity(String worker, long sinceMs) {
        long before =
                worker(worker)
                        .map(SoakEvent.WorkerStarted::processors)
                        .orElse(SoakSystem.PROCESSORS);
        long highest = 0;
        for (SoakEvent.CapacityChanged c : mCapacities.getOrDefault(worker, List.of())) {
            if (c.atMs() < sinceMs) {
                before = c.processors();
            } else {
                highest = Math.max(highest, c.processors());
            }
        }
        return Math.max(before, highest);
    }

    /** What a worker is, as of its last start. */
    private Optional<SoakEvent.WorkerStarted> worker(String worker) {
        return Optional.ofNullable(mWorkers.get(worker));
    }

    /** Whether a start was executed some time after it had arrived. */
    private boolean isExecutedLate(String task, int attempt) {
        return mExecutedLate.contains(run(task, attempt));
    }

    /** Names a run of a task. */
    static String run(String task, int attempt) {
        return task + '#' + attempt;
    }

    /**
     * Why a task should not have started on its worker, by what the worker is. A command that the
     * worker executed late may be meant for the former one under its ID.
     */
    Optional<String> misplacement(Started start) {
        Optional<SoakEvent.WorkerStarted> worker = worker(start.worker());
        SoakJob job = job(SoakEvent.jobOf(start.task()));
        if (worker.isEmpty() || job == null || isExecutedLate(start.task(), start.attempt())) {
            return Optional.empty();
        }
        SoakEvent.WorkerStarted w = worker.get();
        long sinceMs = start.atMs() - w.atMs();
        String where =
                String.format(
                        "%s starts on %s, %s of %s for %d ms",
                        start.task(), start.worker(), w.kind(), w.pool(), sinceMs);
        if (!w.pool().equals(job.pool())) {
            return Optional.of(where + ", and its queue goes to " + job.pool());
        }
        if (!job.placement().admits(w.kind())) {
            return Optional.of(where + ", and requires " + job.placement().kind().get());
        }
        int most = job.placement().maxPerWorker();
        long others = runsOfStep(start.task(), start.worker());
        return most > 0 && others >= most
                ? Optional.of(where + ", beside " + others + " of its step")
                : Optional.empty();
    }

    /** Number of tasks of the same step that run on a worker. */
    private long runsOfStep(String task, String worker) {
        String step = task.substring(0, task.lastIndexOf('.') + 1);
        return processorsOn(worker).keySet().stream().filter(t -> t.startsWith(step)).count();
    }

    /**
     * Whether a worker of the kind that the job requires, if any, has been in its pool since a
     * time.
     */
    boolean hasWorkerFor(SoakJob job, long sinceMs) {
        if (job.placement().kind().isEmpty()) {
            return true;
        }
        return mWorkers.values().stream()
                .filter(w -> w.atMs() <= sinceMs)
                .anyMatch(w -> w.pool().equals(job.pool()) && job.placement().admits(w.kind()));
    }

    /** A job; null if nobody has handed it in. */
    SoakJob job(String id) {
        return mJobs.get(id);
    }

    /** Workers on which a task runs. */
    Set<String> workers(String task) {
        return mRunning.getOrDefault(task, Set.of());
    }

    /** Tasks that run. */
    List<String> running() {
        return mRunning.entrySet().stream()
                .filter(r -> !r.getValue().isEmpty())
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /** Whether a task has run for so long; so that it is at work. */
    boolean hasRunFor(String task, long ms, long nowMs) {
        return !workers(task).isEmpty() && nowMs - mSinceMs.getOrDefault(task, nowMs) >= ms;
    }

    /** Whether a task runs nowhere and its last run, if any, ended at this time or before. */
    boolean isAwaySince(String task, long ms) {
        return workers(task).isEmpty() && mEndedMs.getOrDefault(task, ms) <= ms;
    }

    /** Whether a run of a task has ended done. */
    boolean isDone(String task) {
        return mDone.containsKey(task);
    }

    /** Numbers of the runs of a task that have ended done. */
    Set<Integer> doneAttempts(String task) {
        return mDone.getOrDefault(task, Set.of());
    }

    /** Whether an owner has taken note of that. */
    boolean isNoted(String task) {
        return mNoted.contains(task);
    }

    /** Whether all tasks of a step have ended done. */
    boolean isStepDone(SoakJob job, int step) {
        for (int i = 0; i < job.steps().get(step); i++) {
            if (!isDone(task(job, step, i))) {
                return false;
            }
        }
        return true;
    }

    static String task(SoakJob job, int step, int index) {
        return job.id() + ".0." + step + '.' + index;
    }
}
