package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.foxtailplank.job.CrashHistory;

/**
 * Attributes crashes of workers to tasks and gives up jobs whose tasks crash each worker.
 *
 * <p>Guards against a crash loop: a run that ends with its worker is reported by nobody, so that
 * its task would be started again without limit, each time at the cost of everything that runs on
 * the next worker.
 *
 * <p>Suspects are the runs that had just been started. Tasks that are suspects already are blamed
 * before others, as most tasks on a crashed worker merely ran there; {@link WorkerChooser} keeps
 * suspects apart, so that a crash soon has a single one. Only such a crash is evidence.
 */
final class CrashTracker {
    /** Assumed share of faulty tasks that crash a worker right after their start. */
    private static final double QUICK_SHARE = 0.5;

    private static final double SHORTEST_QUICK_S = 0.001;
    private static final double LONGEST_QUICK_S = 0.1;
    private static final double LONGEST_S = TaskRun.PROBATION_MS / 1000.0;
    private static final double MS_PER_S = 1000;
    private static final double HUNDREDTHS = 100;

    private final RunTable mRuns;
    private final Map<String, CrashRate> mRates = new HashMap<>();
    private final List<ActiveTask> mGivenUp = new ArrayList<>();

    CrashTracker(RunTable runs) {
        mRuns = runs;
    }

    /**
     * Counts a crash of a worker for the tasks that may have caused it.
     *
     * @param workers other workers of its service
     */
    List<WorkerEnd.Suspect> workerCrashed(
            WorkerState worker, Collection<WorkerState> workers, long nowMs) {
        CrashRate rate = mRates.computeIfAbsent(worker.info().service(), s -> new CrashRate());
        long noticedMs = worker.noticedGoneMs(nowMs);
        List<TaskRun> blamed = blamedRuns(worker, noticedMs);
        Set<ActiveTask> tasks = new LinkedHashSet<>();
        blamed.forEach(r -> tasks.add(r.task().accountable()));
        for (ActiveTask t : tasks) {
            int evidence = 0;
            if (tasks.size() == 1) {
                double perSecond = rate.perSecond(workers, t.crashesSeen(), nowMs);
                evidence = evidence(ageMs(blamed, worker, noticedMs), perSecond);
            }
            t.countCrashSeen();
            count(t, evidence, nowMs);
        }
        rate.recordCrash(nowMs);
        List<WorkerEnd.Suspect> suspects = new ArrayList<>();
        blamed.forEach(
                r -> suspects.add(new WorkerEnd.Suspect(r, r.task().accountable().crashes())));
        return suspects;
    }

    /**
     * Counts a crash for a task whose last run, of an earlier owner, has ended with its worker;
     * nobody knows how long it ran.
     *
     * @param workers other workers of its service
     */
    void inheritedRunEnded(ActiveTask task, Collection<WorkerState> workers, long nowMs) {
        String service = task.step().job().definition().service();
        CrashRate rate = mRates.computeIfAbsent(service, s -> new CrashRate());
        double perSecond = rate.perSecond(workers, 0, nowMs);
        count(task, evidence(TaskRun.PROBATION_MS, perSecond), nowMs);
    }

    private void count(ActiveTask task, int evidence, long nowMs) {
        CrashHistory crashes = task.crashes().plus(evidence);
        task.setCrashes(crashes, nowMs);
        ActiveJob job = task.step().job();
        if (crashes.provesFault() && !job.isEnding()) {
            mRuns.endJob(job, "a task crashes its workers", nowMs);
            mGivenUp.add(task);
        }
    }

    private static List<TaskRun> blamedRuns(WorkerState worker, long noticedMs) {
        List<TaskRun> started = new ArrayList<>();
        for (TaskRun r : worker.runs()) {
            boolean mayHaveBegun = r.isInherited() || r.wasSentBefore(noticedMs);
            if (mayHaveBegun && r.isOnProbation()) {
                started.add(r);
            }
        }
        List<TaskRun> suspects = started.stream().filter(TaskRun::isSuspect).toList();
        return suspects.isEmpty() ? started : suspects;
    }

    /**
     * Longest time for which the first of these runs can have run, in milliseconds. If none is
     * confirmed, the worker may have been gone since its last answer.
     */
    private static long ageMs(List<TaskRun> runs, WorkerState worker, long noticedMs) {
        long aliveMs = worker.lastAnswerMs();
        long firstSentMs = Long.MAX_VALUE;
        for (TaskRun r : runs) {
            if (r.isInherited()) {
                return TaskRun.PROBATION_MS;
            }
            firstSentMs = Math.min(firstSentMs, r.firstSentMs());
            aliveMs = Math.max(aliveMs, r.confirmedMs());
        }
        return noticedMs - Math.min(firstSentMs, aliveMs);
    }

    /**
     * Likelihood ratio of a crash at this time after the start: of a task that causes it, against
     * workers that crash at this rate. The time of a faulty task is assumed to be of any order of
     * magnitude, so that a healthy task reaches a product of 1/p with a probability of p at most.
     *
     * @return its decimal logarithm in hundredths
     */
    private static int evidence(long ageMs, double perSecond) {
        double ageS = Math.max(SHORTEST_QUICK_S, ageMs / MS_PER_S);
        double density =
                ageS <= LONGEST_QUICK_S
                        ? QUICK_SHARE / (ageS * Math.log(LONGEST_QUICK_S / SHORTEST_QUICK_S))
                        : (1 - QUICK_SHARE) / (LONGEST_S - LONGEST_QUICK_S);
        return (int) Math.round(HUNDREDTHS * Math.log10(density / perSecond));
    }

    /** Returns the tasks whose jobs were given up since the last call. */
    List<ActiveTask> takeGivenUp() {
        List<ActiveTask> givenUp = List.copyOf(mGivenUp);
        mGivenUp.clear();
        return givenUp;
    }
}
