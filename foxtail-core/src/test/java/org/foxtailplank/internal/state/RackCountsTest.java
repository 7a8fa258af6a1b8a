package org.foxtailplank.internal.state;

import static org.testng.Assert.assertEquals;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.foxtailplank.id.RackId;
import org.testng.annotations.Test;

/** Compares the counts by rack with a full scan. */
public class RackCountsTest {
    private static final long SEED = 7;
    private static final int RACKS = 6;

    @Test
    public void agreesWithAScanAfterEachChange() {
        Random random = new Random(SEED);
        RackCounts counts = new RackCounts();
        Map<RackId, Integer> plain = new HashMap<>();
        for (int i = 0; i < 20_000; i++) {
            RackId rack = RackId.of("r" + random.nextInt(RACKS));
            int n = plain.getOrDefault(rack, 0);
            if (n > 0 && random.nextInt(25) < n * 2) {
                counts.remove(rack);
                plain.put(rack, n - 1);
            } else {
                counts.add(rack);
                plain.put(rack, n + 1);
            }
            assertEquals(counts.total(), sum(plain));
            assertEquals(counts.afterWorstRack(), sum(plain) - max(plain));
            if (plain.get(rack) > 0) {
                Map<RackId, Integer> stopped = new HashMap<>(plain);
                stopped.merge(rack, -1, Integer::sum);
                assertEquals(counts.afterStopAndWorstRack(rack), sum(stopped) - max(stopped));
            }
        }
    }

    private static int sum(Map<RackId, Integer> counts) {
        return counts.values().stream().mapToInt(Integer::intValue).sum();
    }

    private static int max(Map<RackId, Integer> counts) {
        return counts.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }
}
