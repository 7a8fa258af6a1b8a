package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ForecastDemandTest {
    private static final long STEP_MS = 100;
    private static final long VM = 16_000;
    private static final long EXTRAPOLATED = 1000;

    private BurstForecast mForecast;
    private ForecastDemand mDemand;

    @BeforeMethod
    public void createForecast() {
        mForecast = new BurstForecast();
        mDemand = new ForecastDemand(Optional.of(mForecast));
    }

    /** Lets four jobs arrive in each step of a turn, and none at another time. */
    private void play(long nowMs, long... turnsMs) {
        for (long begin : turnsMs) {
            boolean turn = nowMs >= begin && nowMs < begin + 4000;
            for (int i = 0; turn && i < 4; i++) {
                mForecast.recordArrival("a", 5000, nowMs);
            }
        }
        mDemand.advance(nowMs);
    }

    @Test
    public void aWrongForecastCostsTenVmsForTwoSecondsAtMost() {
        // Guards against VMs that wait, or are kept, for a turn that doesn't come.
        long countedMs = 0;
        long heldMs = 0;
        double most = 0;
        for (long t = 0; t < 100_000; t += STEP_MS) {
            play(t, 3000, 19_000);
            double extra = mDemand.arriving("a", EXTRAPOLATED, VM, t) - EXTRAPOLATED;
            countedMs += extra > 0 ? STEP_MS : 0;
            heldMs += mDemand.heldVms(t) > 0 ? STEP_MS : 0;
            most = Math.max(most, extra);
            assertTrue(mDemand.heldVms(t) <= 10, "held: " + mDemand.heldVms(t));
        }

        assertEquals(most, 9.0 * VM, "capacity for the turn");
        assertTrue(countedMs > 0 && countedMs <= 2000, "time: " + countedMs);
        assertTrue(heldMs > 0 && heldMs <= 2000, "time for which VMs are kept: " + heldMs);
    }

    @Test
    public void aTurnThatEndsRequestsNoVmsForArrivalsAfterIt() {
        // Guards against a pool that requests VMs for the rate of a turn that is about to end,
        // while the next queue's turn needs them.
        for (long t = 0; t <= 38_500; t += STEP_MS) {
            play(t, 3000, 19_000, 35_000);
        }
        double extrapolated = 4 * 5000 * 30;

        assertTrue(mDemand.arriving("a", extrapolated, VM, 38_500) < extrapolated / 3);
    }

    @Test
    public void withoutAForecastTheRateOfArrivalsIsExtrapolated() {
        ForecastDemand off = new ForecastDemand(Optional.empty());

        assertEquals(off.arriving("a", EXTRAPOLATED, VM, 0), (double) EXTRAPOLATED);
        assertEquals(off.heldVms(0), 0);
    }
}
