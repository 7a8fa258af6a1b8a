package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.Timetable;
import org.foxtailplank.port.MaintenanceWave;
import org.foxtailplank.port.VmClient.VmInfo;
import org.foxtailplank.port.VmClient.VmPhase;
import org.foxtailplank.schedule.VmPlanner.Call;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests decisions while the store takes no records, and after its return. */
public class StoreOutageTest {
    private static final int CORES = 8;

    private OwnerHarness mOwner;
    private VmPlanner mPlanner;
    private List<VmInfo> mVms;

    @BeforeMethod
    public void setUp() {
        mOwner = new OwnerHarness();
        mPlanner = new VmPlanner(mOwner.mScheduler);
        mVms = new ArrayList<>();
    }

    private WorkerState addServingVm(int number, String pool) {
        Resources capacity = Resources.of(CORES, 1L << 40, 0);
        mVms.add(new VmInfo("vm" + number, pool, VmPhase.UP, "w" + number, capacity));
        return mOwner.addWorker("w" + number, pool, CORES);
    }

    private List<Call> planVms(DueWave... waves) {
        mPlanner.applyList(mVms, mOwner.mNowMs);
        return mPlanner.decide(
                        mOwner.mConfig,
                        List.of(waves),
                        mOwner.mRegistry,
                        true,
                        mOwner.mNowMs,
                        OwnerHarness.WALL_MS + mOwner.mNowMs - 10_000)
                .actions();
    }

    private List<Call> planVmsFor(long ms) {
        List<Call> calls = new ArrayList<>();
        for (long t = 0; t < ms; t += 100) {
            mOwner.mNowMs += 100;
            calls.addAll(planVms());
        }
        return calls;
    }

    private static JobDefinition job(String id, long acceptedMs) {
        JobDefinition job =
                OwnerHarness.definition(
                        id, "surveys", 0, OwnerHarness.step(1, CORES, 1000, List.of()));
        return new JobDefinition(
                job.id(),
                job.route(),
                job.service(),
                job.text(),
                job.steps(),
                job.timetable(),
                job.policy(),
                acceptedMs,
                0,
                "");
    }

    private static UnstoredJob unstored(JobDefinition job) {
        return UnstoredJob.of(job, 0).orElseThrow();
    }

    /** Guards against an evacuation whose standing task can't start elsewhere for seconds. */
    @Test
    public void noTaskIsStoppedForARebootWhileItCannotStartElsewhere() {
        WorkerState first = addServingVm(1, "surveys");
        mOwner.accept(OwnerHarness.definition("aa", "surveys", 0, OwnerHarness.standing(1, 5, 1)));
        TaskRun run = mOwner.placeTasks().get(0);
        addServingVm(2, "surveys");
        mOwner.poll(first);
        DueWave wave =
                new DueWave(
                        new MaintenanceWave(1, List.of("vm1"), 10_000, 1), mOwner.mNowMs + 10_000);

        mOwner.mScheduler.setStoreAvailable(false);
        planVms(wave);
        assertEquals(run.phase(), RunPhase.RUNNING, "during the outage");

        mOwner.mScheduler.setStoreAvailable(true);
        planVms(wave);
        assertEquals(run.phase(), RunPhase.STOPPING, "after the outage");
    }

    /** Guards against late jobs that are taken for new ones and make those late as well. */
    @Test
    public void theObjectiveOfAJobThatWasRejectedCountsFromItsFirstSubmission() {
        mOwner.addWorker("w1", "surveys", CORES);
        JobDefinition early = job("aa", OwnerHarness.WALL_MS + 4000);
        mOwner.decide();
        mOwner.mScheduler.jobUnstored(unstored(early), mOwner.mNowMs);
        mOwner.mNowMs += 4000;
        mOwner.accept(early);
        mOwner.accept(job("bb", OwnerHarness.WALL_MS + 4000));

        List<TaskRun> planned = mOwner.decide().planned();

        assertEquals(planned.get(0).task().name().job(), "bb");
    }

    /** Guards against a pool that gets no VMs before the jobs of its turn can be accepted. */
    @Test
    public void rejectedSubmissionsRequestVmsUntilTheirCallersStayAway() {
        addServingVm(1, "surveys");
        for (int i = 2; i < 6; i++) {
            Resources capacity = Resources.of(CORES, 1L << 40, 0);
            mVms.add(new VmInfo("vm" + i, "off", VmPhase.UP, "", capacity));
        }
        mOwner.mScheduler.setStoreAvailable(false);
        assertTrue(planVms().isEmpty(), "without demand");

        for (int i = 0; i < 5; i++) {
            mOwner.mScheduler.jobUnstored(
                    unstored(job("job" + i, OwnerHarness.WALL_MS)), mOwner.mNowMs);
        }

        assertFalse(planVms().isEmpty(), "with demand");
        mOwner.mNowMs += 5000;
        OrganisationCaps caps = OrganisationCaps.NONE;
        assertEquals(mOwner.mScheduler.unstored().milliCores("surveys", caps, mOwner.mNowMs), 0.0);
    }

    /** Guards against demand that counts twice after an answer of the store was lost. */
    @Test
    public void aSubmissionThatWasStoredAfterAllIsNoFurtherDemand() {
        JobDefinition stored = job("aa", OwnerHarness.WALL_MS);
        mOwner.accept(stored);
        mOwner.mScheduler.jobUnstored(unstored(stored), mOwner.mNowMs);

        OrganisationCaps caps = OrganisationCaps.NONE;
        assertEquals(mOwner.mScheduler.unstored().milliCores("surveys", caps, mOwner.mNowMs), 0.0);
    }

    /** Guards against VMs that are switched off while nobody knows the demand. */
    @Test
    public void spareVmsStayInTheirPoolDuringAnOutage() {
        for (int i = 0; i < 8; i++) {
            addServingVm(i, "surveys");
        }
        mOwner.mScheduler.setStoreAvailable(false);
        assertTrue(planVmsFor(4000).isEmpty(), "during the outage");

        mOwner.mScheduler.setStoreAvailable(true);
        assertTrue(planVmsFor(500).isEmpty(), "before the demand shows");
        assertTrue(planVmsFor(2000).size() > 0, "after the outage");
    }

    /** Guards against demand of jobs whose tasks aren't needed as soon as possible. */
    @Test
    public void standingJobsAndTimetablesAreNoUnstoredDemand() {
        JobDefinition standing =
                OwnerHarness.definition("aa", "surveys", 0, OwnerHarness.standing(1, 5, 1));
        JobDefinition plain = job("bb", OwnerHarness.WALL_MS);

        assertEquals(UnstoredJob.of(standing, 0), Optional.empty());
        assertEquals(UnstoredJob.of(plain, 7).orElseThrow().ageMs(), 7);
        assertEquals(plain.steps().get(0).mode(), RunMode.PLAIN);
        assertEquals(plain.timetable(), Timetable.AT_ONCE);
    }
}
