package org.foxtailplank.schedule;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.LongFunction;
import org.foxtailplank.fleet.Resources;
import org.testng.annotations.Test;

/** Simulates a queue's turn that asks for more than all VMs together can do in time. */
public class OverloadedTurnTest {
    private static final int SEEDS = 8;
    private static final int VM_CORES = 32;
    private static final int POOL_VMS = 2;
    private static final int STANDBY_VMS = 40;
    private static final int VMS = 2 * POOL_VMS + STANDBY_VMS;
    private static final long TURN_MS = 8000;
    private static final long LEAD_IN_MS = 3000;

    /** VMs in the zone that is cut off. */
    private static final int CUT_VMS = 16;

    private static final long CUT_MS = 5700;

    /** Time from the beginning of a turn until its VMs have joined. */
    private static final long JOIN_MS = 3000;

    /** Time from then until the turn's rate falls below what the VMs can do. */
    private static final long PEAK_MS = 3000;

    /** Share of the capacity that jobs get that are in time; the rest goes to others. */
    private static final double LEAST_SHARE = 0.9;

    private static final TurnShape SHAPE =
            new TurnShape(
                    Resources.of(VM_CORES, 256L << 30, 0),
                    POOL_VMS,
                    STANDBY_VMS,
                    0,
                    new TurnShape.Standing(0, 0, 0, 0, 1, 0, 1),
                    List.of(
                            new TurnShape.Queue("surveys", 6.5, 1.6, 3500, 1, 1000, 0.3),
                            new TurnShape.Queue("reports", 6.5, 1.6, 3500, 1, 1000, 0.3)),
                    0);

    private static TurnLoad load(long seed) {
        return new TurnLoad(SHAPE, seed, TURN_MS);
    }

    /** Jobs of the second queue from when its VMs have joined until its rate falls. */
    private static boolean isCounted(SimulatedJob job) {
        long sinceTurnMs = job.mSubmittedMs - OwnerHarness.WALL_MS - LEAD_IN_MS - TURN_MS;
        boolean peak = sinceTurnMs >= JOIN_MS && sinceTurnMs < JOIN_MS + PEAK_MS;
        return peak && job.mDefinition.service().equals("reports");
    }

    /** Asserts that as many jobs are in time as some VMs can do. */
    private static void assertServedByVms(int vms, LongFunction<TurnLoad> loads) {
        double possible = 0;
        double inTime = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            List<SimulatedJob> jobs =
                    loads.apply(seed).play().jobs().stream()
                            .filter(OverloadedTurnTest::isCounted)
                            .toList();
            double askedMilliCores = jobs.stream().mapToDouble(SimulatedJob::work).sum() / PEAK_MS;
            double milliCores = OwnerHarness.CORE * VM_CORES * vms;
            possible += Math.min(1, milliCores / askedMilliCores) / SEEDS;
            double count = jobs.stream().filter(SimulatedJob::isInTime).count();
            inTime += count / jobs.size() / SEEDS;
        }

        assertTrue(
                inTime >= LEAST_SHARE * possible,
                "in time: " + inTime + ", possible with " + vms + " VMs: " + possible);
    }

    /** Guards against jobs that are all accepted and started, and nearly all slightly late. */
    @Test
    public void aTurnBeyondTheCapacityOfAllVmsIsServedAsFarAsTheyReach() {
        assertServedByVms(VMS, OverloadedTurnTest::load);
    }

    /** Guards against the same where the VMs of a zone can't be reached from the turn's start. */
    @Test
    public void aTurnThatLosesAZoneIsServedAsFarAsTheOtherZonesReach() {
        assertServedByVms(VMS - CUT_VMS, s -> load(s).withZoneCut(TURN_MS + 1500, CUT_MS));
    }
}
