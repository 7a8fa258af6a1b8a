package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.port.VmClient.VmInfo;
import org.foxtailplank.port.VmClient.VmOutcome;
import org.foxtailplank.port.VmClient.VmPhase;
import org.foxtailplank.schedule.VmPlanner.Call;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a pool gets the VMs that a gang needs to run at all. */
public class GangCapacityTest {
    private static final int CORES = 64;

    private OwnerHarness mOwner;
    private VmPlanner mPlanner;
    private List<VmInfo> mVms;

    @BeforeMethod
    public void setUp() {
        mOwner = new OwnerHarness();
        mPlanner = new VmPlanner(mOwner.mScheduler);
        mVms = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            addVm(i, "surveys", "w" + i);
            mOwner.addWorker("w" + i, "surveys", CORES);
        }
        for (int i = 2; i < 8; i++) {
            addVm(i, "off", "");
        }
    }

    private void addVm(int number, String pool, String worker) {
        Resources capacity = Resources.of(CORES, 1L << 40, 0);
        mVms.add(new VmInfo("vm" + number, pool, VmPhase.UP, worker, capacity));
    }

    private void acceptGang(int tasks) {
        TaskStep gang =
                new TaskStep(
                        tasks,
                        Resources.of(1, 1, 0),
                        1000,
                        List.of(),
                        new PlacementConstraints(true, false, "", "", 1),
                        RunMode.PLAIN);
        mOwner.accept(OwnerHarness.definition("00000000000000aa", "surveys", 0, gang));
    }

    /** Plans once and performs the moves; returns their number. */
    private int planMoves() {
        mOwner.mNowMs += 100;
        mPlanner.applyList(mVms, mOwner.mNowMs);
        List<Call> calls =
                mPlanner.decide(
                                mOwner.mConfig,
                                List.of(),
                                mOwner.mRegistry,
                                true,
                                mOwner.mNowMs,
                                OwnerHarness.WALL_MS)
                        .actions();
        for (Call c : calls) {
            mPlanner.callAnswered(c, VmOutcome.DONE, mOwner.mNowMs);
            int number = Integer.parseInt(c.vm().id().substring(2));
            mVms.removeIf(v -> v.id().equals(c.vm().id()));
            addVm(number, "surveys", "w" + number);
            mOwner.addWorker("w" + number, "surveys", CORES);
        }
        return calls.size();
    }

    @Test
    public void aGangGetsTheVmsThatItsLimitPerWorkerRequires() {
        // Guards against a gang that waits forever in a pool that has shrunk.
        acceptGang(5);
        assertTrue(mOwner.placeTasks().isEmpty());
        int moves = 0;
        List<TaskRun> members = List.of();
        for (int i = 0; i < 50 && members.isEmpty(); i++) {
            moves += planMoves();
            members = mOwner.placeTasks();
        }

        assertEquals(members.size(), 5);
        assertEquals(moves, 3);
    }

    @Test
    public void noVmsAreMovedForAGangThatTheWholeFleetCannotHold() {
        // Guards against a gang that takes VMs from others in vain.
        acceptGang(9);
        assertTrue(mOwner.placeTasks().isEmpty());
        int moves = 0;
        for (int i = 0; i < 50; i++) {
            moves += planMoves();
            assertTrue(mOwner.placeTasks().isEmpty());
        }

        assertTrue(moves <= 1, moves + " VMs moved");
    }
}
