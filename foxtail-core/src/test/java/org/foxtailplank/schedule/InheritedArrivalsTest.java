package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.Timetable;
import org.foxtailplank.lease.ClockReading;
import org.foxtailplank.organisation.Organisation;
import org.foxtailplank.schedule.BurstForecastResult.Outcome;
import org.testng.annotations.Test;

/** Guards against new owners that have to see two cycles of turns before they expect one. */
public class InheritedArrivalsTest {
    private static final int SEEDS = 8;
    private static final long STEP_MS = 100;
    private static final long TURN_MS = 4000;
    private static final long CYCLE_MS = 16_000;
    private static final long START_MS = 100_000;

    /** Time from the first standing job to the first turn. */
    private static final long LEAD_IN_MS = 3000;

    private static final long WALL_OFFSET_MS = 1_700_000_000_000L;
    private static final long RETENTION_MS = 120_000;
    private static final double PER_SECOND = 5;
    private static final long JOB_MS = 1500;
    private static final List<String> SERVICES = List.of("a", "b", "c", "d");

    /** An owner's scheduler with a forecast. */
    private static final class Owner {
        final Scheduler mScheduler = new Scheduler(OwnerHarness.LIMITS);
        final VmPlanner mPlanner = new VmPlanner(mScheduler);
        final BurstForecast mForecast = new BurstForecast();
        final List<BurstForecastResult> mResults = new ArrayList<>();

        Owner() {
            mPlanner.setForecast(mForecast);
        }

        Optional<Long> beginMs(String service) {
            return mForecast.turn(service).map(ExpectedTurn::beginMs);
        }

        void advance(long nowMs) {
            mForecast.advance(nowMs);
            mResults.addAll(mForecast.takeResults());
        }

        boolean hasReturned(String service) {
            return outcomes(service).contains(Outcome.RETURNED);
        }

        List<Outcome> outcomes(String service) {
            return mResults.stream()
                    .filter(r -> r.service().equals(service))
                    .map(BurstForecastResult::outcome)
                    .toList();
        }
    }

    /** Queues that take turns, their journal, and the owners that read it. */
    private static final class Journal {
        final JobRegistry mRegistry = new JobRegistry(RETENTION_MS);
        final List<Owner> mOwners = new ArrayList<>();
        final Owner mFirst = new Owner();
        private final Random mRandom;
        private final Random mErrors;
        private final List<JobProgress> mRunning = new ArrayList<>();
        private final List<JobDefinition> mWithheld = new ArrayList<>();
        private long mClockErrorMs;
        private long mWithheldFromMs = Long.MAX_VALUE;
        private String mMissing = "";
        private long mMissingFromMs = Long.MAX_VALUE;
        private int mJobs;
        private long mNowMs = START_MS - LEAD_IN_MS;

        Journal(long seed) {
            mRandom = new Random(seed);
            mErrors = new Random(~seed);
            mOwners.add(mFirst);
            TaskStep standing = OwnerHarness.standing(1, 1, 1);
            long acceptedMs = mNowMs + WALL_OFFSET_MS;
            store(job("s", "a", "", Timetable.AT_ONCE, acceptedMs, standing));
        }

        private double perMs(int service) {
            double position = (double) ((mNowMs - START_MS) % CYCLE_MS) / TURN_MS - service;
            boolean missing = mNowMs >= mMissingFromMs && SERVICES.get(service).equals(mMissing);
            boolean turn = position >= 0 && position < 1 && !missing;
            return (turn ? 5.2 * Math.sin(Math.PI * position) : 0.05) * PER_SECOND / 1000;
        }

        /** Plays until a time after the first turn's beginning. */
        Journal playUntil(long elapsedMs) {
            while (mNowMs < START_MS + elapsedMs) {
                mNowMs += STEP_MS;
                for (int s = 0; s < SERVICES.size(); s++) {
                    double left = perMs(s) * STEP_MS + Math.log(1 - mRandom.nextDouble());
                    for (; left > 0; left += Math.log(1 - mRandom.nextDouble())) {
                        addJob(SERVICES.get(s));
                    }
                }
                endJobs();
                mOwners.forEach(o -> o.advance(mNowMs));
            }
            return this;
        }

        private void addJob(String service) {
            mJobs++;
            long errorMs = Math.round((2 * mErrors.nextDouble() - 1) * mClockErrorMs);
            long acceptedMs = mNowMs + WALL_OFFSET_MS + errorMs;
            JobDefinition definition = job("j" + mJobs, service, acceptedMs);
            if (mNowMs >= mWithheldFromMs) {
                mWithheld.add(definition);
            } else {
                store(definition);
            }
        }

        void store(JobDefinition definition) {
            JobProgress job = mRegistry.apply(new JobAccepted(definition)).orElseThrow();
            mRunning.add(job);
            mOwners.forEach(o -> o.mScheduler.addJob(job, mNowMs));
        }

        private void endJobs() {
            long wallMs = mNowMs + WALL_OFFSET_MS;
            for (JobProgress j : List.copyOf(mRunning)) {
                if (j.definition().acceptedMs() < wallMs - JOB_MS) {
                    mRegistry.apply(new JobCancelled(j.definition().id(), wallMs));
                    mRunning.remove(j);
                }
            }
        }

        /** Stores the jobs that the journal lacks, and those of later times. */
        void storeWithheld() {
            mWithheldFromMs = Long.MAX_VALUE;
            mWithheld.forEach(this::store);
        }

        /** Lets another owner take over now, whose wall clock is ahead by this. */
        Owner takeOver(long clockErrorMs) {
            Owner next = new Owner();
            mRegistry.jobs().forEach(j -> next.mScheduler.addInheritedJob(j, w -> false, mNowMs));
            ClockReading now = new ClockReading(mNowMs, mNowMs + WALL_OFFSET_MS + clockErrorMs);
            next.mPlanner.learnInheritedArrivals(now, mRegistry.completeSinceMs(now.wallMs()));
            mOwners.add(next);
            mFirst.mResults.clear();
            return next;
        }
    }

    private static JobDefinition job(String id, String service, long acceptedMs) {
        TaskStep step = OwnerHarness.step(4, 2, 800, List.of());
        return job(id, service, Organisation.NONE, Timetable.AT_ONCE, acceptedMs, step);
    }

    private static JobDefinition job(
            String id,
            String service,
            String organisation,
            Timetable timetable,
            long acceptedMs,
            TaskStep step) {
        JobDefinition d = OwnerHarness.definition(id, service, 0, organisation, step);
        return new JobDefinition(
                id,
                "queue",
                service,
                "",
                d.steps(),
                timetable,
                d.policy(),
                acceptedMs,
                0,
                organisation);
    }

    @Test
    public void aNewOwnerExpectsTheNextTurnsAsItsPredecessorDid() {
        int compared = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Journal journal = new Journal(seed).playUntil(38_000 + 1500L * seed);
            Owner next = journal.takeOver(0);

            for (String s : SERVICES) {
                String what = seed + ": " + s;
                Optional<Long> before = journal.mFirst.beginMs(s);
                if (before.isEmpty()) {
                    continue; // Dropped by chance, as the first jobs came late.
                }
                compared++;
                // The replay's steps are longer, so that it knows the period up to half a second
                // later.
                assertEquals((double) next.beginMs(s).orElseThrow(), before.get(), 250, what);
                long atMs = before.get() + 2000;
                double demand = journal.mFirst.mForecast.expectedMilliCores(s, atMs);
                double found = next.mForecast.expectedMilliCores(s, atMs);
                assertEquals(found, demand, 0.1 * demand, what);
                assertEquals(
                        next.mForecast.confidence(s), journal.mFirst.mForecast.confidence(s), what);
            }
        }
        assertTrue(compared >= SEEDS * SERVICES.size() - 2, compared + " turns were expected");
    }

    @Test
    public void theTakeoverIsNoGapInWhatIsObserved() {
        // Guards against a turn during the takeover that isn't found, or counts as missed.
        for (int seed = 0; seed < SEEDS; seed++) {
            Journal journal = new Journal(seed).playUntil(41_500);
            Owner next = journal.takeOver(0);
            assertEquals(next.mForecast.takeResults(), List.of(), seed + ": reported before");

            journal.playUntil(54_000);
            for (String s : List.of("c", "d", "a")) {
                boolean before = journal.mFirst.hasReturned(s);
                assertTrue(next.hasReturned(s) || !before, seed + ": " + s);
            }
        }
    }

    @Test
    public void clocksThatDifferByATenthOfASecondDelayTurnsByNotMuchMore() {
        // Guards against arrivals that are out of order, or in the future by the owner's clock.
        int before = 0;
        int after = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            long errorMs = seed % 2 == 0 ? 100 : -100;
            Journal journal = new Journal(seed);
            journal.mClockErrorMs = 100;
            journal.playUntil(38_000 + 1500L * seed);
            Owner next = journal.takeOver(errorMs);

            for (String s : SERVICES) {
                Optional<Long> begin = journal.mFirst.beginMs(s);
                if (begin.isPresent()) {
                    double found = next.beginMs(s).orElseThrow();
                    assertEquals(found, begin.get(), 300, seed + ": " + s);
                }
            }
            journal.playUntil(60_000);
            for (String s : SERVICES) {
                before += journal.mFirst.hasReturned(s) ? 1 : 0;
                after += next.hasReturned(s) ? 1 : 0;
            }
        }
        assertTrue(after >= 0.9 * before, after + " turns came as expected, not " + before);
    }

    @Test
    public void aJournalWithoutTheLastSecondsAffectsOnlyTheTurnOfThatTime() {
        // Guards against a turn that counts as missed as its jobs are stored late, and against
        // these jobs, which arrive at once, being taken for a larger turn.
        for (int seed = 0; seed < SEEDS; seed++) {
            Journal journal = new Journal(seed).playUntil(40_000);
            Map<String, Long> due = new HashMap<>();
            SERVICES.forEach(s -> journal.mFirst.beginMs(s).ifPresent(b -> due.put(s, b)));
            assertTrue(due.size() >= 2, seed + ": " + due);
            // The turn of c begins now, and is due again a cycle later.
            due.computeIfPresent("c", (s, b) -> b + CYCLE_MS);
            journal.mWithheldFromMs = journal.mNowMs;
            journal.playUntil(43_000);
            Owner next = journal.takeOver(0);
            journal.storeWithheld();

            for (String s : List.of("a", "c", "d")) {
                if (due.containsKey(s)) {
                    double begin = next.beginMs(s).orElseThrow();
                    assertEquals(begin, due.get(s), 500, seed + ": " + s);
                }
            }
            journal.playUntil(54_000);
            assertEquals(next.outcomes("c"), List.of(), seed + ": cut");
            for (String s : List.of("d", "a")) {
                boolean before = journal.mFirst.hasReturned(s);
                assertTrue(next.hasReturned(s) || !before, seed + ": " + s);
            }
        }
    }

    @Test
    public void aTurnThatWasMissedBeforeTheTakeoverIsNotExpectedAfterIt() {
        // Guards against VMs that each owner moves again for turns that don't come.
        for (int seed = 0; seed < SEEDS; seed++) {
            Journal journal = new Journal(seed);
            journal.mMissing = "b";
            journal.mMissingFromMs = START_MS + 32_000;
            journal.playUntil(41_000);
            assertEquals(journal.mFirst.beginMs("b"), Optional.empty(), seed + ": dropped");
            Owner next = journal.takeOver(0);

            assertEquals(next.beginMs("b"), Optional.empty(), seed + ": dropped");
            assertTrue(next.beginMs("a").isPresent(), seed + ": other service");
        }
    }

    @Test
    public void withoutAForecastNothingIsInherited() {
        Journal journal = new Journal(1).playUntil(38_000);
        Scheduler next = new Scheduler(OwnerHarness.LIMITS);
        long nowMs = journal.mNowMs;
        journal.mRegistry.jobs().forEach(j -> next.addInheritedJob(j, w -> false, nowMs));
        ClockReading now = new ClockReading(nowMs, nowMs + WALL_OFFSET_MS);

        assertEquals(new VmPlanner(next).learnInheritedArrivals(now, 0), 0);
        SERVICES.forEach(s -> assertEquals(next.arrivals().growthPerMs(s, nowMs), 0.0));
    }

    @Test
    public void onlyBatchJobsWithinTheirEntitlementCountAlsoIfTheyHaveEnded() {
        // Guards against turns found in standing jobs, or in the flood of one organisation.
        OwnerHarness harness = new OwnerHarness();
        harness.setOrganisations(OwnerHarness.organisation("o", 1, 0));
        Owner owner = new Owner();
        owner.mScheduler.setOrganisations(harness.mConfig.organisations());
        long wallMs = START_MS + WALL_OFFSET_MS;
        TaskStep batch = OwnerHarness.step(1, 1, 500, List.of());
        TaskStep standing = OwnerHarness.standing(1, 1, 1);
        Timetable once = Timetable.AT_ONCE;
        Timetable timed = new Timetable(wallMs + 60_000, 1000, 3);
        List<JobDefinition> jobs = new ArrayList<>();
        jobs.add(job("ended", "a", "", once, wallMs - 2000, batch));
        jobs.add(job("before", "a", "", once, wallMs - 50_000, batch));
        jobs.add(job("future", "a", "", once, wallMs + 100, batch));
        jobs.add(job("standing", "a", "", once, wallMs - 2000, standing));
        jobs.add(job("timed", "a", "", timed, wallMs - 2000, batch));
        for (int i = 0; i < 20; i++) {
            jobs.add(job("flood" + i, "a", "o", once, wallMs - 1000, batch));
        }
        for (JobDefinition d : jobs) {
            JobProgress job = harness.mRegistry.apply(new JobAccepted(d)).orElseThrow();
            if (d.id().equals("ended")) {
                harness.mRegistry.apply(new JobCancelled("ended", wallMs));
                assertTrue(job.phase().isFinal());
            }
            owner.mScheduler.addInheritedJob(job, w -> false, START_MS);
        }

        ClockReading now = new ClockReading(START_MS, wallMs);
        // An organisation may use up the entitlement of five seconds at once.
        assertEquals(owner.mPlanner.learnInheritedArrivals(now, wallMs - 30_000), 2 + 5);
        assertFalse(owner.mForecast.isTurnDue(Long.MAX_VALUE));
    }
}
