package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.foxtailplank.port.VmClient;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what a new owner concludes from the VM lists that it reads at its takeover. */
public class TakeoverListTest extends OwnerFleetTestBase {
    private FakeWorkers.Connection mConnection;

    @BeforeMethod
    public void setUp() {
        mDirectory.add("w1", SERVICE);
        mDirectory.add("w2", SERVICE);
        FakeWorkers.Connection connection = mWorkers.connect();
        connection.disconnect("w2");
        OwnerSession first = startOwner(mLog, connection, new Takeover(1, true, true));
        first.storeHandedOver(standingJob(), outcome -> {});
        pass(2000);
        assertEquals(mWorkers.running(TASK), List.of("w1"));
        first.end();
        mDirectory = new FakeDirectory();
        mDirectory.add("w2", SERVICE);
        mConnection = mWorkers.connect();
    }

    /** Guards against a second start while a worker without an entry runs that one list lacks. */
    @Test
    public void aWorkerThatOnlyTheFirstListLacksHasNotEnded() {
        mNextLists.add(List.of(Vms.vm("vm2", "w2")));
        startOwner(mLog, mConnection, new Takeover(2, true, true));
        passAssertingAtMostOneRun(TASK, 100 * STEP_MS);
        mDirectory.add("w1", SERVICE);
        pass(2000);

        assertEquals(mWorkers.running(TASK), List.of("w1"));
    }

    /** Guards against a second start while a worker runs whose entry is a foreign writer's. */
    @Test
    public void aWorkerWithAnUnreadableEntryHasNotEndedBeforeItsVmIsListed() {
        mDirectory.addUnreadable("w1");
        takeOverBeforeTheVmIsListed();
    }

    /** Guards against the same if the entry's service is unknown to the new owner. */
    @Test
    public void aWorkerOfAnUnknownServiceHasNotEndedBeforeItsVmIsListed() {
        mDirectory.add("w1", "reports");
        takeOverBeforeTheVmIsListed();
    }

    private void takeOverBeforeTheVmIsListed() {
        List<VmClient.VmInfo> all = mVms;
        mVms = List.of(Vms.vm("vm2", "w2"));
        startOwner(mLog, mConnection, new Takeover(2, true, true));
        passAssertingAtMostOneRun(TASK, 100 * STEP_MS);
        mVms = all;
        mDirectory.add("w1", SERVICE);
        pass(2000);

        assertEquals(mWorkers.running(TASK), List.of("w1"));
    }

    /** Guards against tasks of a worker that is gone which wait for its lease. */
    @Test
    public void tasksOfAWorkerThatBothListsLackStartAtOnce() {
        mWorkers.startAt("w1", 1);
        mVms = List.of(Vms.vm("vm1", "w9"), Vms.vm("vm2", "w2"));
        startOwner(mLog, mConnection, new Takeover(2, true, true));
        pass(200);

        assertEquals(mWorkers.running(TASK), List.of("w2"));
    }
}
