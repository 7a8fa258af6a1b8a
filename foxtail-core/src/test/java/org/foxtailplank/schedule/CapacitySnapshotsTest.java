package org.foxtailplank.schedule;

import static org.foxtailplank.schedule.OwnerHarness.CORE;
import static org.foxtailplank.schedule.OwnerHarness.definition;
import static org.foxtailplank.schedule.OwnerHarness.organisation;
import static org.foxtailplank.schedule.OwnerHarness.standing;
import static org.foxtailplank.schedule.OwnerHarness.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.foxtailplank.admission.QueueCapacity;
import org.foxtailplank.admission.QueueCapacity.Joining;
import org.foxtailplank.admission.QueueCapacity.OrganisationCapacity;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.organisation.Organisation;
import org.foxtailplank.port.VmClient.VmInfo;
import org.foxtailplank.port.VmClient.VmPhase;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the capacity and the work of a service that the owner reports. */
public class CapacitySnapshotsTest {
    private OwnerHarness mOwner;
    private VmPlanner mPlanner;

    @BeforeMethod
    public void setUp() {
        mOwner = new OwnerHarness();
        mPlanner = new VmPlanner(mOwner.mScheduler);
    }

    private QueueCapacity surveys() {
        long wallMs = OwnerHarness.WALL_MS + mOwner.mNowMs - 10_000;
        return new CapacitySnapshots(mOwner.mScheduler, mPlanner)
                .of(Set.of("surveys"), mOwner.mConfig, mOwner.mNowMs, wallMs)
                .get(0);
    }

    private void addWorkers(int count) {
        for (int i = 0; i < count; i++) {
            mOwner.addWorker("w" + i, "surveys", 10);
        }
    }

    /** A task of two cores for 1000 ms, with an objective of 2200 ms. */
    private void accept(String id, String organisation, int tasks) {
        mOwner.accept(definition(id, "surveys", 1, organisation, step(tasks, 2, 1000, List.of())));
    }

    @Test
    public void standingTasksAndRunsTakeCapacity() {
        addWorkers(2);
        mOwner.accept(definition("standing", "surveys", 0, standing(1, 3, 1)));
        accept("batch", "", 2);
        mOwner.placeTasks();

        assertEquals(surveys().milliCores(), 17 * CORE);
        assertEquals(surveys().freeMilliCores(), 12 * CORE, "13 free cores, in tasks of two");
    }

    @Test
    public void freeCoresThatFitNoTaskAreNotFree() {
        // Guards against jobs that count as started although no worker has room for their tasks.
        addWorkers(2);
        mOwner.accept(definition("large", "surveys", 1, step(4, 6, 1000, List.of())));
        mOwner.placeTasks();

        assertEquals(surveys().freeMilliCores(), 0);
    }

    @Test
    public void aWorkerThatShrankBelowItsStandingTasksTakesNoCapacityFromOthers() {
        addWorkers(2);
        mOwner.accept(definition("standing", "surveys", 0, standing(1, 8, 1)));
        mOwner.placeTasks();
        WorkerState first = mOwner.mScheduler.worker("w0").get();
        String shrunken = first.hasStandingRuns() ? "w0" : "w1";
        mOwner.mScheduler.updateWorker(OwnerHarness.info(shrunken, "surveys", 2), mOwner.mNowMs);

        assertEquals(surveys().milliCores(), 10 * CORE);
    }

    @Test
    public void coresWithoutTheMemoryForTasksAreNotCapacity() {
        // Guards against jobs that are accepted for cores that standing tasks leave without memory.
        mOwner.addWorker("w0", "surveys", Resources.of(10, 2, 0), "r1", "zone");
        VmInfo vm = new VmInfo("v1", "surveys", VmPhase.MOVING, "", Resources.of(10, 1, 0));
        mPlanner.applyList(List.of(vm), mOwner.mNowMs);
        mPlanner.vms().vm("v1").get().recordMove(mOwner.mNowMs);
        accept("batch", "", 5);

        assertEquals(surveys().milliCores(), 4 * CORE);
        assertEquals(surveys().joining(), List.of(new Joining(2000, 2 * CORE)));
    }

    @Test
    public void workIsDividedByUrgency() {
        addWorkers(1);
        mOwner.setOrganisations(organisation("rare", 0, 0));
        mOwner.decide();
        for (int i = 0; i < 15; i++) {
            accept("job" + i, "", 1);
        }
        accept("entitled", "rare", 1);
        accept("excess", "rare", 2);
        QueueCapacity capacity = surveys();

        // Ten of the sixteen jobs within their rates fit into the 2199 ms until their objectives.
        assertEquals(capacity.inTimeWork(), 10 * 2 * CORE * 1000);
        assertEquals(capacity.lateWork(), 6 * 2 * CORE * 1000);
        assertEquals(capacity.excessWork(), 4 * CORE * 1000);
    }

    @Test
    public void vmsOnTheirWayAreReportedWithTheirTimes() {
        // Guards against refusals at the start of a turn, for which VMs are moving.
        Resources cores = Resources.of(10, 1, 0);
        List<VmInfo> vms = new ArrayList<>();
        vms.add(new VmInfo("v1", "surveys", VmPhase.MOVING, "", cores));
        vms.add(new VmInfo("v2", "surveys", VmPhase.UP, "not-registered", cores));
        vms.add(new VmInfo("v3", "off", VmPhase.UP, "", cores));
        vms.add(new VmInfo("v4", "reports", VmPhase.MOVING, "", cores));
        mPlanner.applyList(vms, mOwner.mNowMs);
        mPlanner.vms().vm("v1").get().recordMove(mOwner.mNowMs);
        mPlanner.vms().vm("v2").get().recordMove(mOwner.mNowMs - 1500);
        mOwner.mNowMs += 100;

        assertEquals(
                surveys().joining(),
                List.of(new Joining(500, 10 * CORE), new Joining(2000, 20 * CORE)));
    }

    @Test
    public void onlyOrganisationsWhoseLimitsBindAreReported() {
        addWorkers(10);
        mOwner.setOrganisations(
                organisation("capped", 1000, 4),
                organisation("small", 1000, 40),
                organisation("flooding", 1, 0));
        mOwner.decide();
        accept("small", "small", 1);
        for (int i = 0; i < 10; i++) {
            accept("capped" + i, "capped", 1);
            accept("flooding" + i, "flooding", 1);
        }
        QueueCapacity capacity = surveys();

        assertEquals(capacity.organisations().keySet(), Set.of("capped", "flooding"));
        assertEquals(
                capacity.organisations().get("capped"),
                new OrganisationCapacity(4 * CORE, 20 * CORE * 1000));
        assertEquals(
                capacity.organisations().get("flooding"),
                new OrganisationCapacity(
                        100 * CORE,
                        capacity.inTimeWork() + capacity.lateWork() + capacity.excessWork()));
    }

    @Test
    public void atMostEightOrganisationsAreReported() {
        // Guards against reports that grow with the number of organisations.
        addWorkers(10);
        Organisation[] all = new Organisation[20];
        for (int i = 0; i < all.length; i++) {
            all[i] = organisation("o" + i, 1000, 1);
        }
        mOwner.setOrganisations(all);
        mOwner.decide();
        for (int i = 0; i < all.length; i++) {
            accept("job" + i, "o" + i, 1 + i);
        }
        Set<String> names = surveys().organisations().keySet();

        assertEquals(names.size(), 8);
        assertTrue(names.contains("o19"));
        assertFalse(names.contains("o11"));
    }
}
