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
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests lists of VMs in which some entries are unreadable.
 *
 * <p>Guards against tasks that run twice: an incarnation that a complete list doesn't name has
 * ended, and its tasks are restarted at once, but an unreadable entry may hide it.
 */
public class UnreadableVmEntriesTest {
    private static final int CORES = 8;

    /** Long enough after the workers were first seen for the list to name them. */
    private static final long LATER_MS = 5000;

    private OwnerHarness mOwner;
    private VmPlanner mPlanner;

    @BeforeMethod
    public void setUp() {
        mOwner = new OwnerHarness();
        mPlanner = new VmPlanner(mOwner.mScheduler);
        mOwner.addWorker("w1", "surveys", CORES);
        mOwner.addWorker("w2", "surveys", CORES);
        mOwner.mNowMs += LATER_MS;
    }

    private static VmInfo vm(String id, String worker) {
        Resources size = Resources.of(CORES, 1L << 40, 0);
        return new VmInfo(id, "surveys", VmPhase.UP, worker, size);
    }

    /** Applies a list and returns the incarnations that have ended according to it. */
    private List<String> applyList(VmInfo... vms) {
        mOwner.mNowMs += 400;
        List<VmInfo> list = List.of(vms);
        List<String> ended =
                mPlanner.endedIncarnations(list, mOwner.mNowMs).stream()
                        .map(WorkerState::id)
                        .toList();
        mPlanner.applyList(list, mOwner.mNowMs);
        return ended;
    }

    private VmDecisions decide(DueWave... waves) {
        return mPlanner.decide(
                mOwner.mConfig,
                List.of(waves),
                mOwner.mRegistry,
                true,
                mOwner.mNowMs,
                OwnerHarness.WALL_MS);
    }

    private DueWave wave(String... vms) {
        return new DueWave(new MaintenanceWave(1, List.of(vms), 5000, 1), mOwner.mNowMs + 5000);
    }

    @DataProvider
    public Object[][] names() {
        return new Object[][] {{"vm1"}, {""}};
    }

    @Test(dataProvider = "names")
    public void anUnreadableEntryEndsNoIncarnation(String name) {
        assertEquals(applyList(vm("vm1", "w1"), vm("vm2", "w2")), List.of());

        assertEquals(applyList(VmInfo.unreadable(name), vm("vm2", "w2")), List.of());
    }

    @Test
    public void anIncarnationEndsWithACompleteListWithoutIt() {
        applyList(vm("vm1", "w1"), vm("vm2", "w2"));
        applyList(VmInfo.unreadable("vm1"), vm("vm2", "w2"));

        assertEquals(applyList(vm("vm1", ""), vm("vm2", "w2")), List.of("w1"));
    }

    @Test
    public void anIncarnationEndsWhenItsVmIsListedWithAnother() {
        // An unreadable entry may persist; crashes of VMs with readable entries must still be
        // detected.
        applyList(vm("vm1", "w1"), vm("vm2", "w2"));

        assertEquals(
                applyList(vm("vm1", "w9"), vm("vm2", ""), VmInfo.unreadable("")),
                List.of("w1", "w2"));
    }

    @Test
    public void aVmWithAnUnreadableEntryStaysInItsWave() {
        // Guards against a wave that completes without a VM because its entry was unreadable once.
        applyList(vm("vm1", "w1"), vm("vm2", "w2"));
        mOwner.mRegistry.apply(new VmRebooted(1, "vm2"));
        applyList(VmInfo.unreadable("vm1"), vm("vm2", "w2"));

        assertEquals(decide(wave("vm1", "vm2")).completed(), List.of());
    }

    @Test
    public void aFirstListWithAnUnreadableEntryDoesNotCompleteAWave() {
        // A new owner may find the unreadable entry in its first list.
        applyList(VmInfo.unreadable("vm1"), vm("vm2", "w2"));
        mOwner.mRegistry.apply(new VmRebooted(1, "vm2"));

        assertEquals(decide(wave("vm1", "vm2")).completed(), List.of());
    }

    @Test
    public void anUnreadableEntryAddsNoVm() {
        applyList(
                VmInfo.unreadable("vm3"), VmInfo.unreadable(""), vm("vm1", "w1"), vm("vm2", "w2"));

        assertTrue(decide(wave("vm3", "")).actions().isEmpty());
    }
}
