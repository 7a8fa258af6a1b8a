package org.foxtailplank.schedule;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Replays the start of queues' turns on pools whose memory is full of standing tasks. */
public class TurnStartTest {
    private static final int SEEDS = 3;
    private static final long TURN_MS = 4000;

    @Test
    public void poolsWhoseMemoryIsFullGetTheirVmsInTime() {
        // Guards against counting cores that standing tasks leave without memory beside them.
        double earned = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            TurnLoad load = new TurnLoad(TurnShape.MEMORY_FULL, seed, TURN_MS);
            earned += load.play().earnedShare() / SEEDS;
        }

        assertTrue(earned > 0.825, "earned: " + earned);
    }
}
