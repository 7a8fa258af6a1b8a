package org.foxtailplank.schedule;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.foxtailplank.admission.AdmissionDecider;
import org.foxtailplank.admission.AdmissionMode;
import org.foxtailplank.admission.AdmittedShare;
import org.foxtailplank.admission.QueueCapacity;
import org.foxtailplank.admission.ReturnSchedule;
import org.foxtailplank.admission.Returning;
import org.foxtailplank.admission.Verdict;
import org.foxtailplank.job.JobDefinition;
import org.testng.annotations.Test;

/**
 * Measures a decision on a submission and a report of the capacity with 5,000 waiting jobs; prints
 * the times and asserts none.
 */
public class AdmissionBenchmark {
    private static final int JOBS = 5000;
    private static final int WORKERS = 200;
    private static final int DECISIONS = 400_000;
    private static final int SNAPSHOTS = 200;

    @Test
    public void decisionWithFiveThousandWaitingJobs() {
        OwnerHarness owner = new OwnerHarness();
        for (int i = 0; i < WORKERS; i++) {
            owner.addWorker("w" + i, "surveys", 16);
        }
        for (int i = 0; i < JOBS; i++) {
            owner.accept(job("waiting" + i));
        }
        CapacitySnapshots snapshots =
                new CapacitySnapshots(owner.mScheduler, new VmPlanner(owner.mScheduler));
        QueueCapacity capacity = null;
        long snapshotNs = 0;
        for (int i = 0; i < 2 * SNAPSHOTS; i++) {
            if (i == SNAPSHOTS) {
                snapshotNs = -System.nanoTime();
            }
            capacity =
                    snapshots
                            .of(
                                    Set.of("surveys"),
                                    owner.mConfig,
                                    owner.mNowMs,
                                    OwnerHarness.WALL_MS)
                            .get(0);
        }
        snapshotNs += System.nanoTime();

        ReturnSchedule schedule = new ReturnSchedule();
        JobDefinition[] jobs = new JobDefinition[JOBS];
        for (int i = 0; i < JOBS; i++) {
            jobs[i] = job("job" + i);
        }
        long refused = decideAll(jobs, capacity, schedule, owner.mNowMs);
        long start = System.nanoTime();
        refused += decideAll(jobs, capacity, schedule, owner.mNowMs);
        long elapsed = System.nanoTime() - start;

        assertTrue(refused > 0);
        System.out.printf(
                "decision: %d ns, with the place of a refused job; capacity of a service: %d us%n",
                elapsed / DECISIONS, snapshotNs / SNAPSHOTS / 1000);
    }

    private static long decideAll(
            JobDefinition[] jobs, QueueCapacity capacity, ReturnSchedule schedule, long nowMs) {
        long refused = 0;
        for (int i = 0; i < DECISIONS; i++) {
            JobDefinition job = jobs[i % jobs.length];
            Returning returning = schedule.returning(job.id(), nowMs);
            AdmittedShare share = schedule.shareFor(job, AdmittedShare.UNLIMITED, nowMs);
            Verdict verdict =
                    AdmissionDecider.decide(
                            job, capacity, AdmissionMode.BEYOND_OBJECTIVE, share, returning, nowMs);
            if (verdict.refused()) {
                refused++;
                schedule.refused(job, verdict, 1, nowMs);
            }
        }
        return refused;
    }

    private static JobDefinition job(String id) {
        return OwnerHarness.definition(
                id,
                "surveys",
                1,
                OwnerHarness.step(8, 2, 900, List.of()),
                OwnerHarness.step(8, 2, 900, List.of(0)));
    }
}
