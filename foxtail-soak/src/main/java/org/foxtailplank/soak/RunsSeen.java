package org.foxtailplank.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
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

    /** Takes an event in. */
    void take(SoakEvent event) {
        if (event instanceof Submitted e) {
            mJobs.put(e.job().id(), e.job());
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
        long before = SoakSystem.PROCESSORS;
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
