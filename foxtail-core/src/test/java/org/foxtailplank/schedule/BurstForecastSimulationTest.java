package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Replays three turns of each queue with and without forecasts of them. */
public class BurstForecastSimulationTest {
    private static final int SEEDS = 4;
    private static final long TURN_MS = 4000;
    private static final int CYCLES = 3;

    private static TurnLoad load(long seed) {
        return new TurnLoad(seed, TURN_MS).withCycles(CYCLES);
    }

    @Test
    public void forecastsOfTurnsEarnMoreWithFewerVmSecondsAndMoves() {
        // Guards against turns whose first seconds find their VMs in the pool of the queue before,
        // or on their way to and from the standby pool.
        double earned = 0;
        double onTime = 0;
        double vmSeconds = 0;
        double moves = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            FleetSimulation without = load(seed).play();
            FleetSimulation with = load(seed).withForecast(new BurstForecast()).play();
            assertEquals(with.doneJobs(), without.doneJobs(), "jobs done");
            earned += (with.earnedShare() - without.earnedShare()) / SEEDS;
            onTime += (double) with.onTimeJobs() / without.onTimeJobs() / SEEDS;
            vmSeconds += with.poolVmSeconds() / without.poolVmSeconds() / SEEDS;
            moves += (double) with.moves() / without.moves() / SEEDS;
        }

        assertTrue(earned > 0.025, "more earned: " + earned);
        assertTrue(onTime > 1.05, "jobs on time: " + onTime);
        assertTrue(vmSeconds < 1, "VM-seconds: " + vmSeconds);
        assertTrue(moves < 1, "moves: " + moves);
    }
}
