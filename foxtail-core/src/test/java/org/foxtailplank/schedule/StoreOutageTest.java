package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.fleet.Resources;
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
}
