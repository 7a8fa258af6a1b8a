package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.JournalRecord.VmRebooted;
import org.foxtailplank.port.MaintenanceWave;
import org.foxtailplank.port.VmClient.VmInfo;
import org.foxtailplank.port.VmClient.VmPhase;
import org.foxtailplank.schedule.VmPlanner.VmDecisions;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests waves while a list of VMs, which is read in pages, lacks one of their VMs. */
public class IncompleteVmListTest {
    private static final int CORES = 8;
    private static final long LIST_INTERVAL_MS = 400;

    private OwnerHarness mOwner;
    private VmPlanner mPlanner;

    @BeforeMethod
    public void setUp() {
        mOwner = new OwnerHarness();
        mOwner.addWorker("w1", "surveys", CORES);
        mOwner.addWorker("w2", "surveys", CORES);
        mPlanner = new VmPlanner(mOwner.mScheduler);
    }

    private static VmInfo vm(String id, VmPhase phase, String worker) {
        return new VmInfo(id, "surveys", phase, worker, Resources.of(CORES, 1L << 40, 0));
    }

    private VmDecisions applyList(VmInfo... vms) {
        mOwner.mNowMs += LIST_INTERVAL_MS;
        mPlanner.applyList(List.of(vms), mOwner.mNowMs);
        MaintenanceWave wave = new MaintenanceWave(1, List.of("vm1", "vm2"), 5000, 1);
        return mPlanner.decide(
                mOwner.mConfig,
                List.of(new DueWave(wave, mOwner.mNowMs + 5000)),
                mOwner.mRegistry,
                true,
                mOwner.mNowMs,
                OwnerHarness.WALL_MS);
    }

    /** Guards against a wave that is completed without the reboot of a VM that one list lacks. */
    @Test
    public void aWaveIsNotCompletedWhileOneListLacksItsLastVm() {
        mOwner.mRegistry.apply(new VmRebooted(1, "vm2"));
        VmInfo last = vm("vm1", VmPhase.UP, "w1");
        VmInfo other = vm("vm2", VmPhase.UP, "w2");

        assertEquals(applyList(last, other).completed(), List.of());
        assertEquals(applyList(other).completed(), List.of());
        assertEquals(applyList(last, other).completed(), List.of());
        assertEquals(applyList(other).completed(), List.of());
        assertEquals(applyList(other).completed(), List.of(1L), "two lists in a row lack it");
    }

    /** Guards against the same by a new owner, whose first list lacks the VM. */
    @Test
    public void aFirstListDoesNotCompleteAWave() {
        mOwner.mRegistry.apply(new VmRebooted(1, "vm2"));
        VmInfo other = vm("vm2", VmPhase.UP, "w2");

        assertEquals(applyList(other).completed(), List.of());
        assertEquals(applyList(other).completed(), List.of(1L));
    }

    /** Guards against more reboots at a time than a wave allows. */
    @Test
    public void aVmThatIsDownCountsWhileOneListLacksIt() {
        mOwner.mRegistry.apply(new VmRebooted(1, "vm1"));
        VmInfo down = vm("vm1", VmPhase.REBOOTING, "");
        VmInfo next = vm("vm2", VmPhase.UP, "w2");

        assertTrue(applyList(down, next).actions().isEmpty());
        assertTrue(applyList(next).actions().isEmpty());
    }
}
