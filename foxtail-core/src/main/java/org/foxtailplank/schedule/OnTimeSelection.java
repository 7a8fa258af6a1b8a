package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import org.foxtailplank.job.JobDefinition;

/**
 * Selects the batch jobs that can meet their objectives together.
 *
 * <p>Uses the Moore-Hodgson algorithm: jobs are taken in the order of their latest starts, and
 * whenever the tasks so far are more than the workers can have started by then, the job whose
 * waiting tasks are most work is left out. This maximizes the number of objectives met on a single
 * machine of the pool's size.
 *
 * <p>Only cores that are free now can be used until the objective. The others are free once their
 * tasks have ended, and a task that starts after its job's latest start ends too late. If all of
 * the time until the objective counted, all jobs of an overloaded queue would be slightly late.
 *
 * <p>The jobs of an organisation with a cap must in addition be possible within that cap; otherwise
 * all of its jobs would share the cap and be late.
 */
final class OnTimeSelection {
    /** Share of the work of running tasks that is left on average. */
    private static final double LEFT_SHARE = 0.5;

    private final Selected mAll;
    private final OrganisationCaps mCaps;
    private final long mNowWallMs;
    private final Map<String, Selected> mByOrganisation = new HashMap<>();
    private final Set<Candidate> mLeftOut = new HashSet<>();

    /**
     * A job that can meet its objective by itself.
     *
     * @param waitingWork work of the tasks that have no run
     * @param slackMs time until its latest start
     * @param lengthMs time from then until it ends
     */
    private record Candidate(ActiveRun run, double waitingWork, long slackMs, long lengthMs) {
        static Candidate of(ActiveRun run, long slackMs) {
            return new Candidate(
                    run,
                    run.remainingWork() - run.runningWork(),
                    slackMs,
                    run.remainingCriticalPathMs());
        }

        String organisation() {
            return run.job().definition().organisation();
        }

        String service() {
            return run.job().definition().service();
        }
    }

    /** Candidates that share capacity and are not left out so far. */
    private static final class Selected {
        final PriorityQueue<Candidate> mLargestFirst =
                new PriorityQueue<>(Comparator.comparingDouble(Candidate::waitingWork).reversed());
        final PoolCapacity mCapacity;
        double mRunningMilliCores;
        double mRunningWork;
        double mWaitingWork;

        /** Creates a set without candidates that share a capacity. */
        Selected(PoolCapacity capacity) {
            mCapacity = capacity;
        }

        void countRunning(ActiveRun run) {
            mRunningMilliCores += run.runningMilliCores();
            mRunningWork += run.runningWork();
        }

        void add(Candidate candidate) {
            mLargestFirst.add(candidate);
            mWaitingWork += candidate.waitingWork();
        }

        void leaveOut(Candidate candidate) {
            mWaitingWork -= candidate.waitingWork();
        }

        /** Work of the waiting tasks that can start by the latest start of a candidate. */
        double workThatCanStart(Candidate candidate) {
            double milliCores = mCapacity.milliCores();
            double freeMilliCores = Math.max(0, milliCores - mRunningMilliCores);
            return milliCores * candidate.slackMs()
                    - LEFT_SHARE * mRunningWork
                    + freeMilliCores * candidate.lengthMs()
                    + mCapacity.workOfJoining(candidate.slackMs(), candidate.lengthMs());
        }
    }

    /**
     * Creates a selection.
     *
     * @param capacity capacity of the pool
     * @param caps caps of the organisations
     */
    OnTimeSelection(PoolCapacity capacity, OrganisationCaps caps, long nowWallMs) {
        mAll = new Selected(capacity);
        mCaps = caps;
        mNowWallMs = nowWallMs;
    }

    /** Returns those of the runs of one service that can meet their objectives together. */
    Set<ActiveRun> select(List<ActiveRun> runs) {
        runs.forEach(this::countRunning);
        List<Candidate> candidates = candidates(runs);
        for (Candidate c : candidates) {
            mAll.add(c);
            Optional<Selected> ofOrganisation =
                    Optional.ofNullable(mByOrganisation.get(c.organisation()));
            ofOrganisation.ifPresent(
                    s -> {
                        s.add(c);
                        leaveOutUntilPossible(s, c);
                    });
            leaveOutUntilPossible(mAll, c);
        }
        Set<ActiveRun> selected = new HashSet<>();
        for (Candidate c : candidates) {
            if (!mLeftOut.contains(c)) {
                selected.add(c.run());
            }
        }
        return selected;
    }

    private void countRunning(ActiveRun run) {
        JobDefinition job = run.job().definition();
        if (job.isStanding()) {
            return;
        }
        mAll.countRunning(run);
        mCaps.milliCoresFor(job.organisation(), job.service())
                .ifPresent(
                        cap ->
                                mByOrganisation
                                        .computeIfAbsent(
                                                job.organisation(),
                                                o -> new Selected(PoolCapacity.of(cap)))
                                        .countRunning(run));
    }

    private List<Candidate> candidates(List<ActiveRun> runs) {
        List<Candidate> candidates = new ArrayList<>();
        for (ActiveRun r : runs) {
            boolean batch = r.job().isEntitled() && !r.job().definition().isStanding();
            long slackMs = UrgencyOrder.slackMs(r, mNowWallMs);
            if (batch && slackMs >= 0) {
                candidates.add(Candidate.of(r, slackMs));
            }
        }
        candidates.sort(Comparator.comparingLong(Candidate::slackMs));
        return candidates;
    }

    /** Leaves out the largest candidates until the others can start by the last one's latest. */
    private void leaveOutUntilPossible(Selected selected, Candidate last) {
        double possible = selected.workThatCanStart(last);
        while (selected.mWaitingWork > possible && !selected.mLargestFirst.isEmpty()) {
            Candidate largest = selected.mLargestFirst.poll();
            if (mLeftOut.add(largest)) {
                mAll.leaveOut(largest);
                Optional.ofNullable(mByOrganisation.get(largest.organisation()))
                        .ifPresent(s -> s.leaveOut(largest));
            }
        }
    }
}
