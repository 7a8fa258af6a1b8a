package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.port.VmClient.VmInfo;
import org.foxtailplank.port.VmClient.VmPhase;
import org.testng.annotations.Test;

/** Tests which VMs count as on their way to a pool. */
public class JoiningCapacityTest {
    private static final Resources CORES = Resources.of(8, 1, 0);

    private final OwnerHarness mOwner = new OwnerHarness();
    private final VmPlanner mPlanner = new VmPlanner(mOwner.mScheduler);

    private int countMoving() {
        return new JoiningCapacity(mOwner.mScheduler, mPlanner.vms())
                .moving("surveys", BatchCapacity.CORES, mOwner.mNowMs)
                .size();
    }

    /** Guards against jobs selected for VMs that still wait for their last runs. */
    @Test
    public void aVmCountsOnceItMovesAndNotWhileItIsToMove() {
        mPlanner.applyList(
                List.of(new VmInfo("vm1", "reports", VmPhase.UP, "w1", CORES)), mOwner.mNowMs);
        ManagedVm vm = mPlanner.vms().vm("vm1").orElseThrow();
        vm.plan(new PlannedVmAction.Move("surveys", "the pool lacks VMs"), mOwner.mNowMs);
        assertEquals(countMoving(), 0, "waits for its last runs");

        vm.applyAction(new VmInfo("vm1", "surveys", VmPhase.MOVING, "", CORES));
        vm.recordMove(mOwner.mNowMs);
        assertEquals(countMoving(), 1, "moves");
    }
}
