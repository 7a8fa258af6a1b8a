package org.foxtailplank.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.admission.QueueCapacity.Joining;
import org.foxtailplank.admission.QueueCapacity.OrganisationCapacity;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.Timetable;
import org.testng.annotations.Test;

/** Tests decisions at submission on a pool of 100 cores, which does 100,000 units in 1 ms. */
public class AdmissionDeciderTest {
    private static final long NOW_MS = 50_000;
    private static final long CORES_100 = 100_000;

    /** Work that the pool does in 1 s. */
    private static final long SECOND = CORES_100 * 1000;

    /** Run time of the job's one step; its objective is 2200 ms, and its benefit ends at 6600. */
    private static final long TASK_MS = 1000;

    private static JobDefinition job(String organisation, RunMode mode, Timetable timetable) {
        return job(organisation, mode, timetable, TASK_MS, 600);
    }

    private static JobDefinition job(
            String organisation, RunMode mode, Timetable timetable, long taskMs, long sloMs) {
        TaskStep step =
                new TaskStep(
                        8,
                        Resources.of(2, 1, 0),
                        taskMs,
                        List.of(),
                        PlacementConstraints.ANYWHERE,
                        mode);
        return new JobDefinition(
                "job",
                "queue",
                "surveys",
                "text",
                List.of(step),
                timetable,
                new QueuePolicy(1, 2, 1.6, sloMs, Optional.empty()),
                0,
                0,
                organisation);
    }

    private static JobDefinition job(String organisation) {
        return job(organisation, RunMode.PLAIN, Timetable.AT_ONCE);
    }

    private static QueueCapacity full(long inTimeWork, long lateWork, Joining... joining) {
        return new QueueCapacity(
                "surveys",
                NOW_MS,
                CORES_100,
                0,
                List.of(joining),
                inTimeWork,
                lateWork,
                0,
                Map.of());
    }

    private static Verdict decide(QueueCapacity capacity, AdmissionMode mode) {
        return AdmissionDecider.decide(
                job(""), capacity, mode, AdmittedShare.UNLIMITED, capacity.measuredMs());
    }

    private static Verdict decide(long taskMs, long sloMs) {
        return AdmissionDecider.decide(
                job("", RunMode.PLAIN, Timetable.AT_ONCE, taskMs, sloMs),
                full(2 * SECOND, 45 * SECOND / 10),
                AdmissionMode.BEYOND_OBJECTIVE,
                AdmittedShare.UNLIMITED,
                NOW_MS);
    }

    @Test
    public void aJobWithoutAnObjectiveIsExempt() {
        assertEquals(decide(0, 0).basis(), Verdict.Basis.EXEMPT);
        assertEquals(decide(TASK_MS, -2000).basis(), Verdict.Basis.EXEMPT);
    }

    @Test
    public void aVeryLongObjectiveDoesNotOverflow() {
        Verdict verdict = decide(TASK_MS, Long.MAX_VALUE / 2);

        assertFalse(verdict.refused());
        assertEquals(verdict.estimate().get().benefitMs(), 3 * AdmissionDecider.MAX_OBJECTIVE_MS);
    }

    @Test
    public void aJobThatCanStartAtOnceIsInTime() {
        Verdict verdict = decide(full(SECOND / 2, 0), AdmissionMode.BEYOND_OBJECTIVE);

        assertEquals(verdict.outlook(), Outlook.IN_TIME);
        assertEquals(verdict.estimate().get().expectedMs(), 500 + TASK_MS);
    }

    @Test
    public void aLateJobIsRefusedBeyondObjectivesOnly() {
        QueueCapacity capacity = full(2 * SECOND, 0);

        assertEquals(decide(capacity, AdmissionMode.SURELY_LATE).outlook(), Outlook.LATE);
        assertFalse(decide(capacity, AdmissionMode.SURELY_LATE).refused());
        assertTrue(decide(capacity, AdmissionMode.BEYOND_OBJECTIVE).refused());
        assertFalse(decide(capacity, AdmissionMode.OFF).refused());
    }

    private static Verdict decideUnderCap(double secondsAhead) {
        long cap = 10_000;
        QueueCapacity capacity =
                new QueueCapacity(
                        "surveys",
                        NOW_MS,
                        CORES_100,
                        CORES_100,
                        List.of(),
                        0,
                        0,
                        0,
                        Map.of(
                                "large",
                                new OrganisationCapacity(cap, (long) (secondsAhead * 1000 * cap))));
        return AdmissionDecider.decide(
                job("large"), capacity, AdmissionMode.SURELY_LATE, AdmittedShare.UNLIMITED, NOW_MS);
    }

    @Test
    public void aJobIsSurelyLateOnlyIfNoErrorOfItsEstimateMakesItUseful() {
        // Guards against refusals of jobs that take a quarter of their estimates, or four times as
        // long with a benefit that ends after 21,000 ms.
        assertFalse(decideUnderCap(6.5).refused(), "late as estimated");
        assertFalse(decideUnderCap(14.5).refused(), "late with a quarter of the estimate");
        assertTrue(decideUnderCap(17.1).refused(), "late with four times the estimate");
    }

    @Test
    public void workOfOthersDoesNotMakeAJobSurelyLate() {
        // Guards against refusals of jobs that overtake the late ones.
        QueueCapacity capacity = full(100 * SECOND, 100 * SECOND);

        assertEquals(decide(capacity, AdmissionMode.SURELY_LATE).outlook(), Outlook.LATE);
        assertFalse(decide(capacity, AdmissionMode.SURELY_LATE).refused());
    }

    @Test
    public void capacityOnItsWayCounts() {
        // Guards against refusals at the start of a turn, when the VMs for it are still moving.
        QueueCapacity capacity = full(2 * SECOND, 6 * SECOND);
        QueueCapacity growing = full(2 * SECOND, 6 * SECOND, new Joining(1000, 9 * CORES_100));

        assertTrue(decide(capacity, AdmissionMode.BEYOND_OBJECTIVE).refused());
        assertEquals(decide(growing, AdmissionMode.BEYOND_OBJECTIVE).outlook(), Outlook.IN_TIME);
    }

    @Test
    public void capacityThatJoinsIsNearerInAnOldReport() {
        QueueCapacity growing = full(2 * SECOND, 0, new Joining(1000, 9 * CORES_100));

        assertEquals(growing.timeForMs(2 * SECOND, 0), 1100);
        assertEquals(growing.timeForMs(2 * SECOND, 600), 400 + 160);
    }

    @Test
    public void jobsAreAcceptedWithoutARecentReport() {
        // Guards against refusals by a node that is cut off from the owner.
        QueueCapacity capacity = full(100 * SECOND, 100 * SECOND);
        AdmittedShare none = new AdmittedShare(0);
        for (AdmissionMode m : AdmissionMode.values()) {
            Verdict old = AdmissionDecider.decide(job(""), capacity, m, none, NOW_MS + 1001);
            assertFalse(old.refused());
            assertFalse(AdmissionDecider.decide(job(""), null, m, none, NOW_MS).refused());
        }
        assertTrue(
                AdmissionDecider.decide(
                                job(""),
                                capacity,
                                AdmissionMode.BEYOND_OBJECTIVE,
                                none,
                                NOW_MS + 1000)
                        .refused());
    }

    @Test
    public void standingJobsAndThoseWithATimetableAreAccepted() {
        QueueCapacity capacity = full(100 * SECOND, 100 * SECOND);
        RunMode standing = new RunMode(false, true, false, false, 0, 1);
        List<JobDefinition> exempt =
                List.of(
                        job("", standing, Timetable.AT_ONCE),
                        job("", RunMode.PLAIN, new Timetable(5, 1000, 3)));
        for (JobDefinition j : exempt) {
            Verdict verdict =
                    AdmissionDecider.decide(
                            j,
                            capacity,
                            AdmissionMode.BEYOND_OBJECTIVE,
                            new AdmittedShare(0),
                            NOW_MS);
            assertFalse(verdict.refused());
            assertEquals(verdict.basis(), Verdict.Basis.EXEMPT);
        }
    }

    @Test
    public void aNodeWithoutAShareAcceptsNoFurtherJobsAsInTime() {
        // Guards against nodes that together accept more than the pool can hold.
        Verdict verdict =
                AdmissionDecider.decide(
                        job(""),
                        full(SECOND / 2, 0),
                        AdmissionMode.BEYOND_OBJECTIVE,
                        new AdmittedShare(0),
                        NOW_MS);

        assertTrue(verdict.refused());
        assertEquals(verdict.outlook(), Outlook.LATE);
    }

    @Test
    public void aJobIsJudgedByItsOrganisationsCapAsWell() {
        // Guards against an organisation at its cap whose jobs wait although the pool is idle.
        Verdict capped = decideUnderCap(1.5);

        assertEquals(capped.outlook(), Outlook.LATE);
        assertEquals(capped.estimate().get().expectedMs(), 1500 + 1600, "ten cores for 16,000 ms");
        assertEquals(
                decide(capped.estimate().get().capacity(), AdmissionMode.SURELY_LATE).outlook(),
                Outlook.IN_TIME,
                "a job of another organisation");
    }

    @Test
    public void aLargeJobOnAnIdlePoolIsAccepted() {
        // Guards against a pool that never gets the VMs that a job needs, as it has no jobs.
        QueueCapacity small =
                new QueueCapacity("surveys", NOW_MS, 100, 100, List.of(), 0, 0, 0, Map.of());

        assertFalse(decide(small, AdmissionMode.BEYOND_OBJECTIVE).refused());
    }

    private static boolean refusesReturning(Returning returning) {
        return AdmissionDecider.decide(
                        job(""),
                        full(2 * SECOND, 0),
                        AdmissionMode.BEYOND_OBJECTIVE,
                        AdmittedShare.UNLIMITED,
                        returning,
                        NOW_MS)
                .refused();
    }

    @Test
    public void aJobThatReturnsInItsTimeIsAcceptedWhileItHasABenefit() {
        // Guards against a job that is refused on each return, since it is late by now, and against
        // one that is accepted although it has no benefit any more.
        assertFalse(refusesReturning(new Returning(3600, true)));
        assertTrue(refusesReturning(new Returning(3601, true)));
        assertTrue(refusesReturning(new Returning(3600, false)));
    }

    @Test
    public void aJobThatReturnsAfterItsBenefitIsSurelyLate() {
        for (long elapsedMs : new long[] {16_999, 17_001}) {
            Verdict verdict =
                    AdmissionDecider.decide(
                            job(""),
                            full(SECOND, 0),
                            AdmissionMode.SURELY_LATE,
                            AdmittedShare.UNLIMITED,
                            new Returning(elapsedMs, true),
                            NOW_MS);
            assertEquals(verdict.refused(), elapsedMs > 17_000);
        }
    }
}
