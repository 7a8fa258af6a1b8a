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

/**
 * Selects the batch jobs that can meet their objectives together.
 *
 * <p>Uses the Moore-Hodgson algorithm: jobs are taken in the order of their objectives, and
 * whenever the work so far exceeds what the workers can do by then, the largest job is left out.
 * This maximizes the number of objectives met on a single machine of the pool's size. The jobs of
 * an organisation with a cap must in addition be possible within that cap; otherwise all of its
 * jobs would share the cap and be late.
 */
final class OnTimeSelection {
    private final long mMilliCores;
    private final OrganisationCaps mCaps;
    private final long mNowWallMs;
    private final Selected mAll = new Selected();
    private final Map<String, Selected> mByOrganisation = new HashMap<>();
    private final Set<Candidate> mLeftOut = new HashSet<>();

    private record Candidate(ActiveRun run, long work, long objectiveMs) {
        String organisation() {
            return run.job().definition().organisation();
        }

        String service() {
            return run.job().definition().service();
        }
    }

    /** Candidates that are not left out so far. */
    private static final class Selected {
        final PriorityQueue<Candidate> mLargestFirst =
                new PriorityQueue<>(Comparator.comparingLong(Candidate::work).reversed());
        double mWork;

        void add(Candidate candidate) {
            mLargestFirst.add(candidate);
            mWork += candidate.work();
        }
    }

    /**
     * Creates a selection.
     *
     * @param milliCores capacity of the workers for batch tasks, in thousandths of a core
     * @param caps caps of the organisations
     */
    OnTimeSelection(long milliCores, OrganisationCaps caps, long nowWallMs) {
        mMilliCores = milliCores;
        mCaps = caps;
        mNowWallMs = nowWallMs;
    }

    /** Returns those of the runs of one service that can meet their objectives together. */
    Set<ActiveRun> select(List<ActiveRun> runs) {
        List<Candidate> candidates = candidates(runs);
        for (Candidate c : candidates) {
            Optional<Long> cap = mCaps.milliCoresFor(c.organisation(), c.service());
            mAll.add(c);
            if (cap.isPresent()) {
                Selected ofOrganisation =
                        mByOrganisation.computeIfAbsent(c.organisation(), o -> new Selected());
                ofOrganisation.add(c);
                leaveOutUntilPossible(ofOrganisation, cap.get(), c.objectiveMs());
            }
            leaveOutUntilPossible(mAll, mMilliCores, c.objectiveMs());
        }
        Set<ActiveRun> selected = new HashSet<>();
        for (Candidate c : candidates) {
            if (!mLeftOut.contains(c)) {
                selected.add(c.run());
            }
        }
        return selected;
    }

    private List<Candidate> candidates(List<ActiveRun> runs) {
        List<Candidate> candidates = new ArrayList<>();
        for (ActiveRun r : runs) {
            boolean batch = r.job().isEntitled() && !r.job().definition().isStanding();
            if (batch && UrgencyOrder.slackMs(r, mNowWallMs) >= 0) {
                long objectiveMs = UrgencyOrder.objectiveMs(r);
                candidates.add(new Candidate(r, r.remainingWork(), objectiveMs));
            }
        }
        candidates.sort(Comparator.comparingLong(Candidate::objectiveMs));
        return candidates;
    }

    /** Leaves out the largest candidates until the others can be done by an objective. */
    private void leaveOutUntilPossible(Selected selected, long milliCores, long objectiveMs) {
        double capacity = (double) milliCores * (objectiveMs - mNowWallMs);
        while (selected.mWork > capacity && !selected.mLargestFirst.isEmpty()) {
            Candidate largest = selected.mLargestFirst.poll();
            if (mLeftOut.add(largest)) {
                mAll.mWork -= largest.work();
                Optional.ofNullable(mByOrganisation.get(largest.organisation()))
                        .ifPresent(s -> s.mWork -= largest.work());
            }
        }
    }
}
