package org.foxtailplank.node.caller;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.foxtailplank.lease.ClockReading;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class DecisionOrderTest {
    private static final int SEEDS = 500;
    private static final int STEPS = 200;

    private DecisionOrder mOrder;

    /** A request that was decided by a version. */
    private record Decision(ClockReading arrivedAt, long version) {}

    @BeforeMethod
    public void setUp() {
        mOrder = new DecisionOrder();
    }

    private static ClockReading at(long ms) {
        return new ClockReading(ms, 1_000_000 + ms);
    }

    @Test
    public void aRequestMayBeDecidedByANewerVersionIfNoneThatArrivedMuchLaterWasDecided() {
        mOrder.recordDecision(at(150), 1);

        assertTrue(mOrder.permits(at(0), 2));
    }

    /** Guards against a configuration that seems to go back. */
    @Test
    public void aRequestMayNotBeDecidedByANewerVersionThanOneThatArrivedMuchLater() {
        mOrder.recordDecision(at(151), 1);
        mOrder.recordDecision(at(10), 1);

        assertTrue(mOrder.permits(at(0), 1));
        assertFalse(mOrder.permits(at(0), 2));
        assertTrue(mOrder.permits(at(1), 2));
    }

    @Test
    public void decisionsByTheNewestVersionDoNotCount() {
        mOrder.recordDecision(at(0), 1);
        mOrder.recordDecision(at(300), 2);

        assertTrue(mOrder.permits(at(100), 2));
        assertFalse(mOrder.permits(at(100), 3));
    }

    /** Guards against any order of arrivals, waits, changes and suspensions. */
    @Test
    public void noRequestIsDecidedByAnOlderVersionThanOneThatArrivedMuchEarlier() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            DecisionOrder order = new DecisionOrder();
            List<ClockReading> waiting = new ArrayList<>();
            List<Decision> decided = new ArrayList<>();
            long steadyMs = 0;
            long wallMs = 0;
            long version = 1;
            for (int i = 0; i < STEPS; i++) {
                long stepMs = random.nextInt(120);
                steadyMs += random.nextInt(20) == 0 ? 0 : stepMs;
                wallMs += stepMs;
                version += random.nextInt(8) == 0 ? 1 : 0;
                ClockReading now = new ClockReading(steadyMs, wallMs);
                if (random.nextBoolean()) {
                    waiting.add(now);
                } else {
                    order.recordDecision(now, version);
                    decided.add(new Decision(now, version));
                }
                if (!waiting.isEmpty() && random.nextBoolean()) {
                    ClockReading arrivedAt = waiting.remove(random.nextInt(waiting.size()));
                    if (order.permits(arrivedAt, version)) {
                        order.recordDecision(arrivedAt, version);
                        decided.add(new Decision(arrivedAt, version));
                    }
                }
            }
            assertInOrder(seed, decided);
        }
    }

    private static void assertInOrder(int seed, List<Decision> decided) {
        for (Decision earlier : decided) {
            for (Decision later : decided) {
                boolean muchLater = later.arrivedAt().elapsedSince(earlier.arrivedAt()) > 150;
                if (muchLater && later.version() < earlier.version()) {
                    fail("seed " + seed + ": " + earlier + ", " + later);
                }
            }
        }
    }
}
