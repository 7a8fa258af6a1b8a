package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.job.CrashHistory;

/**
 * Attributes crashes of workers to tasks and gives up jobs whose tasks crash each worker.
 *
 * <p>Guards against a crash loop: a run that ends with its worker is reported by nobody, so that
 * its task would be started again without limit, each time at the cost of everything that runs on
 * the next worker.
 *
 * <p>Suspects are the tasks that had just been started. Most of them merely ran there, so that
 * {@link WorkerChooser} keeps suspects apart when they start again: a crash with a single one that
 * was a suspect before is evidence against it, whatever else had just been started.
 */
final class CrashTracker {
    /**
     * A worker that hasn't confirmed a run may have crashed at any time up to this one after the
     * start, in milliseconds.
     */
    private static final long UNCONFIRMED_AGE_MS = 100;

    /** Assumed time of such a crash, in milliseconds. */
    private static final long MEAN_UNCONFIRMED_AGE_MS = UNCONFIRMED_AGE_MS / 2;

    private final RunTable mRuns;
    private final Map<String, CrashRate> mRates = new HashMap<>();
    private final List<ActiveTask> mGivenUp = new ArrayList<>();

    CrashTracker(RunTable runs) {
        mRuns = runs;
    }

    /** Observes the workers of a service, to know how often they crash. */
    void observe(String service, Collection<WorkerState> workers, long nowMs) {
        rate(service).observe(workers, nowMs);
    }

    private CrashRate rate(String service) {
        return mRates.computeIfAbsent(service, s -> new CrashRate());
    }

    /** Counts a crash of a worker for the tasks that may have caused it. */
    List<WorkerEnd.Suspect> workerCrashed(WorkerState worker, long nowMs) {
        Optional<String> service = worker.service();
        return service.map(s -> workerCrashed(worker, rate(s), nowMs)).orElse(List.of());
    }

    private List<WorkerEnd.Suspect> workerCrashed(WorkerState worker, CrashRate rate, long nowMs) {
        long noticedMs = worker.noticedGoneMs(nowMs);
        List<TaskRun> started = startedRuns(worker, noticedMs);
        List<TaskRun> suspects = started.stream().filter(TaskRun::isSuspect).toList();
        List<TaskRun> blamed = suspects.isEmpty() ? started : suspects;
        Set<ActiveTask> blamedTasks = tasks(blamed);
        for (ActiveTask t : tasks(started)) {
            Age age = age(t, started, noticedMs);
            if (blamedTasks.equals(Set.of(t))) {
                addEvidence(t, age, rate, nowMs);
            } else {
                setCrashes(t, t.crashes().plusCrash(0, age.ms()), nowMs);
            }
        }
        if (worker.suspects() == 0) {
            rate.recordCrash();
        }
        List<WorkerEnd.Suspect> result = new ArrayList<>();
        started.forEach(
                r -> result.add(new WorkerEnd.Suspect(r, r.task().accountable().crashes())));
        return result;
    }

    private static Set<ActiveTask> tasks(List<TaskRun> runs) {
        Set<ActiveTask> tasks = new LinkedHashSet<>();
        runs.forEach(r -> tasks.add(r.task().accountable()));
        return tasks;
    }

    /**
     * Counts a crash for a task whose last run, of an earlier owner, has ended with its worker;
     * nobody knows how long it ran.
     */
    void inheritedRunEnded(ActiveTask task, long nowMs) {
        CrashRate rate = rate(task.step().job().definition().service());
        addEvidence(task, Age.UNKNOWN, rate, nowMs);
    }

    private void addEvidence(ActiveTask task, Age age, CrashRate rate, long nowMs) {
        CrashHistory crashes = task.crashes();
        int evidence = age.evidence(crashes.agesMs(), rate.perSecond());
        setCrashes(task, crashes.plusCrash(evidence, age.ms()), nowMs);
    }

    private void setCrashes(ActiveTask task, CrashHistory crashes, long nowMs) {
        task.setCrashes(crashes, nowMs);
        ActiveJob job = task.step().job();
        if (crashes.provesFault() && !job.isEnding()) {
            mRuns.endJob(job, "a task crashes its workers", nowMs);
            mGivenUp.add(task);
        }
    }

    private static List<TaskRun> startedRuns(WorkerState worker, long noticedMs) {
        List<TaskRun> started = new ArrayList<>();
        for (TaskRun r : worker.runs()) {
            if (r.mayHaveBegunBy(noticedMs) && r.isOnProbation()) {
                started.add(r);
            }
        }
        return started;
    }

    /** Time for which the first of a task's runs ran; unknown if an earlier owner started one. */
    private static Age age(ActiveTask task, List<TaskRun> runs, long noticedMs) {
        long firstSentMs = Long.MAX_VALUE;
        boolean confirmed = false;
        for (TaskRun r : runs) {
            if (r.task().accountable() != task) {
                continue;
            }
            if (r.isInherited()) {
                return Age.UNKNOWN;
            }
            firstSentMs = Math.min(firstSentMs, r.firstSentMs());
            confirmed |= r.confirmedMs() >= 0;
        }
        long ageMs = Math.max(1, noticedMs - firstSentMs);
        return confirmed || ageMs > UNCONFIRMED_AGE_MS ? new Age(ageMs, true) : Age.UNCONFIRMED;
    }

    /**
     * Time from the start of a run to the crash of its worker.
     *
     * @param ms in milliseconds; 0 if unknown
     * @param exact whether the crash is known to have come then
     */
    private record Age(long ms, boolean exact) {
        static final Age UNKNOWN = new Age(0, false);
        static final Age UNCONFIRMED = new Age(MEAN_UNCONFIRMED_AGE_MS, false);

        int evidence(List<Long> earlierAgesMs, double crashesPerSecond) {
            if (exact) {
                return CrashEvidence.of(ms, earlierAgesMs, crashesPerSecond);
            }
            return ms > 0
                    ? CrashEvidence.ofAgeUpTo(UNCONFIRMED_AGE_MS, earlierAgesMs, crashesPerSecond)
                    : CrashEvidence.of(TaskRun.PROBATION_MS, earlierAgesMs, crashesPerSecond);
        }
    }

    /** Returns the tasks whose jobs were given up since the last call. */
    List<ActiveTask> takeGivenUp() {
        List<ActiveTask> givenUp = List.copyOf(mGivenUp);
        mGivenUp.clear();
        return givenUp;
    }
}
