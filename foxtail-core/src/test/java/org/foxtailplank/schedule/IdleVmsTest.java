package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.port.MaintenanceWave;
import org.foxtailplank.port.VmClient.VmInfo;
import org.foxtailplank.port.VmClient.VmOutcome;
import org.foxtailplank.port.VmClient.VmPhase;
import org.foxtailplank.schedule.VmPlanner.Call;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that waves and releases leave idle VMs to pools that lack VMs. */
public class IdleVmsTest {
    private static final int CORES = 8;
    private static final int STANDBY_VMS = 12;

    private OwnerHarness mOwner;
    private VmPlanner mPlanner;
    private List<VmInfo> mVms;

    @BeforeMethod
    public void setUp() {
        mOwner = new OwnerHarness();
        mPlanner = new VmPlanner(mOwner.mScheduler);
        mVms = new ArrayList<>();
    }

    private void addVm(String id, String pool, String worker) {
        mVms.add(new VmInfo(id, pool, VmPhase.UP, worker, Resources.of(CORES, 1L << 40, 0)));
    }

    private void addServingVm(String id, String pool) {
        addVm(id, pool, "w-" + id);
        mOwner.addWorker("w-" + id, pool, CORES);
    }

    private List<String> addStandbyVms() {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < STANDBY_VMS; i++) {
            addVm("s" + i, "off", "");
            ids.add("s" + i);
        }
        return ids;
    }

    private List<Call> decide(List<DueWave> waves) {
        mOwner.mNowMs += 90;
        mPlanner.applyList(mVms, mOwner.mNowMs);
        List<Call> calls =
                mPlanner.decide(
                                mOwner.mConfig,
                                waves,
                                mOwner.mRegistry,
                                true,
                                mOwner.mNowMs,
                                OwnerHarness.WALL_MS + mOwner.mNowMs - 10_000)
                        .actions();
        for (Call c : calls) {
            mPlanner.callAnswered(c, VmOutcome.DONE, mOwner.mNowMs);
            mVms.replaceAll(v -> v.id().equals(c.vm().id()) ? c.vm().info() : v);
        }
        return calls;
    }

    private DueWave wave(List<String> vms, long leftMs) {
        MaintenanceWave wave = new MaintenanceWave(1, vms, leftMs, vms.size());
        return new DueWave(wave, mOwner.mNowMs + leftMs);
    }

    /** Accepts a job that needs some VMs of a service. */
    private void acceptJob(String id, String service, int vms) {
        mOwner.accept(
                OwnerHarness.definition(
                        id, service, 0, OwnerHarness.step(CORES * vms, 1, 1000, List.of())));
    }

    private static long countReboots(List<Call> calls) {
        return calls.stream().filter(c -> c.action() instanceof PlannedVmAction.Reboot).count();
    }

    private static long countMoves(List<Call> calls, String pool) {
        return calls.stream()
                .filter(c -> c.action() instanceof PlannedVmAction.Move)
                .filter(c -> ((PlannedVmAction.Move) c.action()).pool().equals(pool))
                .count();
    }

    /** Guards against a wave that reboots idle VMs in the second in which a turn needs them. */
    @Test
    public void aWaveWithTimeToSpareLeavesIdleVmsToAPoolThatLacksThem() {
        addServingVm("vm1", "surveys");
        DueWave wave = wave(addStandbyVms(), 30_000);
        acceptJob("aa", "surveys", STANDBY_VMS);

        List<Call> calls = decide(List.of(wave));

        assertTrue(countMoves(calls, "surveys") >= STANDBY_VMS - 1, "calls: " + calls);
    }

    /** Guards against waves that are late since some pool grows at any time. */
    @Test
    public void aWaveWithoutTimeToSpareRebootsIdleVmsEvenIfAPoolLacksThem() {
        addServingVm("vm1", "surveys");
        DueWave wave = wave(addStandbyVms(), 5_000);
        acceptJob("aa", "surveys", STANDBY_VMS);

        assertEquals(countReboots(decide(List.of(wave))), STANDBY_VMS);
    }

    /** Guards against a new owner whose first act is a wave on the VMs that a turn needs. */
    @Test
    public void aNewOwnerLeavesIdleVmsUntilItKnowsTheDemand() {
        addServingVm("vm1", "surveys");
        DueWave wave = wave(addStandbyVms(), 30_000);
        mPlanner.waitForDemand(mOwner.mNowMs + 1000);

        List<Call> calls = new ArrayList<>(decide(List.of(wave)));
        acceptJob("aa", "surveys", STANDBY_VMS);
        calls.addAll(decide(List.of(wave)));

        assertTrue(countMoves(calls, "surveys") >= STANDBY_VMS - 1, "calls: " + calls);
    }

    /** Guards against a new owner that releases the VMs of a turn before it knows its jobs. */
    @Test
    public void aNewOwnerReleasesNoVmUntilItKnowsTheDemand() {
        for (int i = 0; i < STANDBY_VMS; i++) {
            addServingVm("vm" + i, "surveys");
        }
        long knownMs = mOwner.mNowMs + 1000;
        mPlanner.waitForDemand(knownMs);
        List<Call> calls = new ArrayList<>();
        while (mOwner.mNowMs < knownMs - 100) {
            calls.addAll(decide(List.of()));
        }

        assertEquals(calls, List.of());
    }

    /** Guards against VMs that move to the standby pool and from there to the next turn's pool. */
    @Test
    public void noVmIsReleasedWhileAnotherPoolGrows() {
        for (int i = 0; i < 3 * STANDBY_VMS; i++) {
            addServingVm("vm" + i, "surveys");
        }
        addServingVm("r1", "reports");
        acceptJob("aa", "reports", 4);
        List<Call> calls = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            calls.addAll(decide(List.of()));
        }

        assertTrue(countMoves(calls, "reports") >= 3, "calls: " + calls);
        assertEquals(countMoves(calls, "off"), 0);
    }

    /** Guards against spare VMs that stay in their pools after a turn has got its VMs. */
    @Test
    public void spareVmsAreReleasedOnceNoPoolGrows() {
        for (int i = 0; i < STANDBY_VMS; i++) {
            addServingVm("vm" + i, "surveys");
        }
        List<Call> calls = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            calls.addAll(decide(List.of()));
        }

        assertFalse(calls.isEmpty());
        assertEquals(countMoves(calls, "off"), calls.size());
    }
}
