package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.foxtailplank.schedule.BurstForecastResult.Outcome;
import org.testng.annotations.Test;

public class BurstForecastTest {
    private static final int SEEDS = 12;
    private static final long STEP_MS = 100;
    private static final long TURN_MS = 4000;
    private static final double JOB_MILLI_CORES = 3000;

    /** Plays seeded arrivals, of which each service has turns that begin at given times. */
    private static final class Arrivals {
        final BurstForecast mForecast = new BurstForecast();
        final List<BurstForecastResult> mResults = new ArrayList<>();
        private final Random mRandom;
        private final Map<String, List<Long>> mTurns = new LinkedHashMap<>();
        private final Map<Long, Double> mSizes = new LinkedHashMap<>();
        private double mPerSecond = 5;
        private double mIdleShare = 0.05;
        private long mNowMs;

        Arrivals(long seed) {
            mRandom = new Random(seed);
        }

        Arrivals with(String service, long... turnsMs) {
            List<Long> turns = new ArrayList<>();
            for (long t : turnsMs) {
                turns.add(t);
            }
            mTurns.put(service, turns);
            return this;
        }

        private double perMs(String service) {
            for (long begin : mTurns.get(service)) {
                double position = (double) (mNowMs - begin) / TURN_MS;
                if (position >= 0 && position < 1) {
                    double size = mSizes.getOrDefault(begin, 1.0);
                    return size * 5.2 * Math.sin(Math.PI * position) * mPerSecond / 1000;
                }
            }
            return mIdleShare * mPerSecond / 1000;
        }

        void playUntil(long endMs) {
            while (mNowMs < endMs) {
                mNowMs += STEP_MS;
                for (String service : mTurns.keySet()) {
                    double left = perMs(service) * STEP_MS - nextExponential();
                    for (; left > 0; left -= nextExponential()) {
                        mForecast.recordArrival(service, JOB_MILLI_CORES, mNowMs);
                    }
                }
                mForecast.advance(mNowMs);
                mResults.addAll(mForecast.takeResults());
            }
        }

        private double nextExponential() {
            return -Math.log(1 - mRandom.nextDouble());
        }

        /** Demand expected two seconds after now. */
        double expected(String service) {
            return mForecast.expectedMilliCores(service, mNowMs + 2000);
        }

        /** Plays until a time and returns the highest expected demand. */
        double highestExpectedUntil(String service, long endMs) {
            double highest = 0;
            while (mNowMs < endMs) {
                playUntil(mNowMs + STEP_MS);
                highest = Math.max(highest, expected(service));
            }
            return highest;
        }

        List<Outcome> outcomes() {
            return mResults.stream().map(BurstForecastResult::outcome).toList();
        }
    }

    @Test
    public void aTurnThatHasReturnedIsExpectedAtItsTimeAndSize() {
        double sum = 0;
        double error = 0;
        int returned = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Arrivals a = new Arrivals(seed).with("a", 3000, 19_000, 35_000);
            a.playUntil(34_500);

            // A twentieth of the jobs of half a sine wave arrive in its first 0.57 s.
            error += Math.abs(a.mForecast.turn("a").orElseThrow().beginMs() - 35_570.0) / SEEDS;
            assertEquals(a.mForecast.confidence("a"), 0.5, seed + ": confidence");
            sum += a.mForecast.expectedMilliCores("a", 39_000);

            a.playUntil(42_000);
            assertEquals(a.outcomes().size(), 1, seed + ": outcomes");
            returned += a.outcomes().contains(Outcome.RETURNED) ? 1 : 0;
        }
        assertTrue(error < 300, "mean error of the beginning: " + error);
        assertTrue(returned >= SEEDS - 1, returned + " came as expected");
        // The window of three seconds before 39 s has 1 / 2 + sqrt(2) / 4 of the turn's 66 jobs.
        double actual = 66.2 * 0.854 * JOB_MILLI_CORES;
        assertEquals(sum / SEEDS, actual, actual * 0.15, "expected demand");
    }

    @Test
    public void nothingIsExpectedBeforeATurnHasReturned() {
        // Guards against a forecast from the first turn, whose period nobody knows.
        for (int seed = 0; seed < SEEDS; seed++) {
            Arrivals a = new Arrivals(seed).with("a", 3000, 19_000);

            assertEquals(a.highestExpectedUntil("a", 22_000), 0.0, seed + ": expected");
            assertEquals(a.mForecast.confidence("a"), 0.0, seed + ": confidence");
        }
    }

    @Test
    public void aServiceIsExpectedOnceTheOrderOfOthersHasRepeated() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Arrivals a =
                    new Arrivals(seed)
                            .with("a", 3000, 19_000)
                            .with("b", 7000, 23_000)
                            .with("c", 11_000, 27_000);
            assertEquals(a.highestExpectedUntil("c", 19_000), 0.0, seed + ": first cycle");
            a.playUntil(26_500);

            assertTrue(a.expected("c") > 0, seed + ": second cycle");
            assertTrue(a.mForecast.confidence("c") < 0.5, seed + ": confidence");
        }
    }

    @Test
    public void turnsWithJitterAreExpected() {
        int returned = 0;
        int all = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            long[] turns = new long[6];
            for (int i = 0; i < turns.length; i++) {
                turns[i] = 3000 + 16_000L * i + random.nextInt(-300, 301);
            }
            Arrivals a = new Arrivals(seed).with("a", turns);
            a.playUntil(90_000);
            returned += a.outcomes().stream().filter(Outcome.RETURNED::equals).count();
            all += 4;
        }
        assertTrue(returned > 0.8 * all, returned + " of " + all + " came as expected");
    }

    @Test
    public void aMissedTurnDropsTheForecastUntilItIsConfirmed() {
        // Guards against VMs that are moved again and again for turns that don't come.
        for (int seed = 0; seed < SEEDS; seed++) {
            Arrivals a = new Arrivals(seed).with("a", 3000, 19_000, 51_000, 67_000);
            a.playUntil(37_500);
            assertEquals(a.outcomes(), List.of(Outcome.MISSED), seed + ": outcome");
            assertTrue(a.mResults.get(0).used(), seed + ": used");
            assertTrue(
                    a.mResults.get(0).expectedMilliCores() > a.mResults.get(0).actualMilliCores());

            assertEquals(a.highestExpectedUntil("a", 54_000), 0.0, seed + ": dropped");
            a.playUntil(66_500);
            assertTrue(a.expected("a") > 0, seed + ": confirmed");
            assertFalse(a.mResults.get(1).used(), seed + ": only compared");
        }
    }

    @Test
    public void aTurnThatComesEarlyDropsTheForecast() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Arrivals a = new Arrivals(seed).with("a", 3000, 19_000, 30_000, 46_000, 62_000);
            a.playUntil(37_000);
            assertTrue(a.outcomes().contains(Outcome.EARLY), seed + ": " + a.outcomes());
            assertEquals(a.highestExpectedUntil("a", 44_000), 0.0, seed + ": dropped");
        }
    }

    @Test
    public void theForecastFollowsTheSizeOfATurnThatHasBegun() {
        double grown = 0;
        double same = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Arrivals a = new Arrivals(seed).with("a", 3000, 19_000, 35_000);
            a.playUntil(37_000);
            same += a.expected("a");
            Arrivals b = new Arrivals(seed).with("a", 3000, 19_000, 35_000);
            b.mSizes.put(35_000L, 1.8);
            b.playUntil(37_000);
            grown += b.expected("a");
        }
        assertEquals(grown / same, 1.8, 0.3, "growth");
    }

    @Test
    public void aBurstThatNeverReturnsIsNotExpected() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Arrivals a = new Arrivals(seed).with("a", 9000);
            assertEquals(a.highestExpectedUntil("a", 100_000), 0.0, seed + ": expected");
        }
    }

    @Test
    public void aServiceWithoutTurnsIsNotExpected() {
        // Guards against turns seen in the noise of independent arrivals.
        for (int seed = 0; seed < SEEDS; seed++) {
            Arrivals a = new Arrivals(seed).with("a");
            a.mIdleShare = 1;
            assertEquals(a.highestExpectedUntil("a", 120_000), 0.0, seed + ": expected");
        }
    }

    @Test
    public void aSuspensionDropsTheForecastUntilATurnComesAsExpected() {
        // Guards against forecasts by a clock that stood still, and against the jobs of the
        // suspension, which arrive at once, being taken for a turn.
        for (int seed = 0; seed < SEEDS; seed++) {
            Arrivals a = new Arrivals(seed).with("a", 3000, 19_000, 35_000, 51_000);
            a.playUntil(25_000);
            a.mNowMs = 30_000;
            for (int i = 0; i < 60; i++) {
                a.mForecast.recordArrival("a", JOB_MILLI_CORES, a.mNowMs);
            }
            assertEquals(a.highestExpectedUntil("a", 38_000), 0.0, seed + ": dropped");
            a.playUntil(50_500);
            assertTrue(a.expected("a") > 0, seed + ": confirmed");
        }
    }
}
