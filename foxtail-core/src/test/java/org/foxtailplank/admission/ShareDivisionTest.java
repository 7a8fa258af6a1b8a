package org.foxtailplank.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.Test;

/** Guards against nodes that together accept more than their pool has room for. */
public class ShareDivisionTest {
    private static final int NODES = 41;
    private static final long SEED = 4;

    @Test
    public void sharesTogetherNeverExceedTheRoom() {
        Random random = new Random(SEED);
        for (int trial = 0; trial < 2000; trial++) {
            long room = random.nextLong(1L << random.nextInt(1, 40));
            Map<Integer, Long> accepted = new LinkedHashMap<>();
            for (int n = 0; n < NODES; n++) {
                accepted.put(n, random.nextInt(3) == 0 ? 0 : random.nextLong(1L << 34));
            }
            long sum = 0;
            for (int part : ShareDivision.parts(accepted).values()) {
                sum += ShareDivision.share(room, part).work();
            }
            assertTrue(sum <= room, sum + " of " + room);
        }
    }

    @Test
    public void sharesFollowWhatWasAcceptedRecentlyWithAMinimumForEach() {
        // Callers that arrive at another node must not wait until it has accepted jobs.
        Map<String, Integer> parts = ShareDivision.parts(Map.of("busy", 300L, "idle", 0L));

        assertEquals(parts.get("busy").intValue(), 875_000);
        assertEquals(parts.get("idle").intValue(), 125_000);
    }

    @Test
    public void nodesThatAcceptedNothingShareEvenly() {
        assertEquals(
                ShareDivision.parts(Map.of("a", 0L, "b", 0L)), Map.of("a", 500_000, "b", 500_000));
    }

    @Test
    public void roomIsWhatThePoolCompletesWithinTheObjectiveBesidesTheWorkInTime() {
        QueueCapacity capacity =
                new QueueCapacity(
                        "s",
                        0,
                        4000,
                        0,
                        List.of(new QueueCapacity.Joining(1500, 1000)),
                        3_000_000,
                        9_000_000,
                        0,
                        Map.of());

        assertEquals(ShareDivision.room(capacity, 2000), 4000 * 2000 + 1000 * 500 - 3_000_000);
        assertEquals(ShareDivision.room(capacity, 500), 0);
    }

    @Test
    public void roomDoesNotOverflowWithAnUnlimitedObjective() {
        QueueCapacity capacity =
                new QueueCapacity("s", 0, 1_000_000, 0, List.of(), 0, 0, 0, Map.of());

        assertEquals(
                ShareDivision.room(capacity, Long.MAX_VALUE / 2),
                1_000_000 * AdmissionDecider.MAX_OBJECTIVE_MS);
        assertEquals(ShareDivision.room(capacity, -1), 0);
    }
}
