package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.JournalRecord.VmRebooted;
import org.foxtailplank.port.VmActions.VmInfo;
import org.foxtailplank.port.VmActions.VmPhase;
import org.foxtailplank.port.WaveOrder;
import org.foxtailplank.schedule.VmPlanner.VmDecisions;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Entries of the VM list that can't be read, among good ones.
 *
 * <p>A life that a complete list doesn't name is over, and its tasks are started again at once. A
 * caller sees a job done twice where the life is still there: the entry of its VM was another
 * writer's, or of a state that isn't known.
 */
public class ForeignVmEntriesTest {
    private static final int CORES = 8;

    /** Well after the workers were first seen, so that the list must know them. */
    private static final long LATER_MS = 5000;

    private Owner mOwner;
    private VmPlanner mPlanner;

    @BeforeMethod
    public void setUp() {
        mOwner = new Owner();
        mPlanner = new VmPlanner(mOwner.mScheduler);
        mOwner.worker("w1", "surveys", CORES);
        mOwner.worker("w2", "surveys", CORES);
        mOwner.mNowMs += LATER_MS;
    }

    private static VmInfo vm(String id, String worker) {
        Resources size = Resources.of(CORES, 1L << 40, 0);
        return new VmInfo(id, "surveys", VmPhase.UP, worker, size);
    }

    /** Takes a list in; tells the lives that are over by it. */
    private List<String> over(VmInfo... vms) {
        mOwner.mNowMs += 400;
        List<VmInfo> list = List.of(vms);
        List<String> over =
                mPlanner.overLives(list, mOwner.mNowMs).stream().map(WorkerState::id).toList();
        mPlanner.listed(list, mOwner.mNowMs);
        return over;
    }

    private VmDecisions decide(DueWave... waves) {
        return mPlanner.decide(
                mOwner.mConfig, List.of(waves), mOwner.mBook, true, mOwner.mNowMs, Owner.WALL_MS);
    }

    private DueWave wave(String... vms) {
        return new DueWave(new WaveOrder(1, List.of(vms), 5000, 1), mOwner.mNowMs + 5000);
    }

    @DataProvider
    public Object[][] names() {
        return new Object[][] {{"vm1"}, {""}};
    }

    @Test(dataProvider = "names")
    public void aLifeIsNotOverWhereItsVmsEntryCannotBeRead(String name) {
        assertEquals(over(vm("vm1", "w1"), vm("vm2", "w2")), List.of());

        assertEquals(over(VmInfo.unreadable(name), vm("vm2", "w2")), List.of());
    }

    @Test
    public void aLifeIsOverOnceACompleteListNamesItNoMore() {
        over(vm("vm1", "w1"), vm("vm2", "w2"));
        over(VmInfo.unreadable("vm1"), vm("vm2", "w2"));

        assertEquals(over(vm("vm1", ""), vm("vm2", "w2")), List.of("w1"));
    }

    @Test
    public void aLifeIsOverWhereItsVmIsListedWithAnotherOne() {
        // A foreign entry may stand in the list all day. Workers that crash meanwhile must still
        // show at once where their own VM's entry can be read.
        over(vm("vm1", "w1"), vm("vm2", "w2"));

        assertEquals(
                over(vm("vm1", "w9"), vm("vm2", ""), VmInfo.unreadable("")), List.of("w1", "w2"));
    }

    @Test
    public void aVmWhoseEntryCannotBeReadStaysInItsWave() {
        // Operators see a wave completed although a VM never had its reboot: its entry could not be
        // read for a moment, so that it was taken for a VM that doesn't exist.
        over(vm("vm1", "w1"), vm("vm2", "w2"));
        mOwner.mBook.apply(new VmRebooted(1, "vm2"));
        over(VmInfo.unreadable("vm1"), vm("vm2", "w2"));

        assertEquals(decide(wave("vm1", "vm2")).completed(), List.of());
    }

    @Test
    public void aWaveIsNotCompletedByAListInWhichItsVmCannotBeRead() {
        // The same to a new owner, whose first list has the entry.
        over(VmInfo.unreadable("vm1"), vm("vm2", "w2"));
        mOwner.mBook.apply(new VmRebooted(1, "vm2"));

        assertEquals(decide(wave("vm1", "vm2")).completed(), List.of());
    }

    @Test
    public void anEntryThatCannotBeReadIsNoVm() {
        over(VmInfo.unreadable("vm3"), VmInfo.unreadable(""), vm("vm1", "w1"), vm("vm2", "w2"));

        assertTrue(decide(wave("vm3", "")).actions().isEmpty());
    }
}
