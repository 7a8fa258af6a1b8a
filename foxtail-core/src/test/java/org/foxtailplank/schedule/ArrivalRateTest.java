package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;

import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ArrivalRateTest {
    private static final String SERVICE = "surveys";
    private static final double MILLI_CORES = 1000;

    private ArrivalRate mRate;

    @BeforeMethod
    public void setUp() {
        mRate = new ArrivalRate();
        mRate.setForecast(new BurstForecast());
    }

    @Test
    public void theBeginningOfABurstCountsAtItsFullRate() {
        // Guards against VMs that are moved half a second after a burst has begun.
        for (long t = 1000; t <= 1160; t += 40) {
            mRate.recordArrival(SERVICE, MILLI_CORES, t);
        }
        double perMs = MILLI_CORES / 40;

        assertEquals(mRate.growthPerMs(SERVICE, 1180), perMs, 0.2 * perMs);
    }

    @Test
    public void twoArrivalsCountOverTheWholeWindow() {
        // Guards against VMs that are moved for two jobs that arrive together by coincidence.
        mRate.recordArrival(SERVICE, MILLI_CORES, 1000);
        mRate.recordArrival(SERVICE, MILLI_CORES, 1010);

        assertEquals(mRate.growthPerMs(SERVICE, 1010), 2 * MILLI_CORES / 400);
    }

    @Test
    public void aSteadyRateIsNotOverestimated() {
        // Guards against pools that are too large throughout a burst.
        Random random = new Random(1);
        double next = 0;
        double sum = 0;
        int samples = 0;
        for (long t = 0; t < 200_000; t += 20) {
            while (next <= t) {
                mRate.recordArrival(SERVICE, MILLI_CORES, (long) next);
                next += -Math.log(1 - random.nextDouble()) * 40;
            }
            if (t > 1000) {
                sum += mRate.growthPerMs(SERVICE, t);
                samples++;
            }
        }

        assertEquals(sum / samples, MILLI_CORES / 40, 0.1 * MILLI_CORES / 40);
    }

    @Test
    public void arrivalsCountOverTheWholeWindowWithoutForecasts() {
        // Guards against other decisions on deployments that don't ask for forecasts.
        mRate = new ArrivalRate();
        for (long t = 1000; t <= 1160; t += 40) {
            mRate.recordArrival(SERVICE, MILLI_CORES, t);
        }

        assertEquals(mRate.growthPerMs(SERVICE, 1180), 5 * MILLI_CORES / 400);
    }
}
