package org.foxtailplank.internal.idempotency;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.id.NodeId;
import org.testng.annotations.Test;

/**
 * Measures how fast claims are applied. Not part of the suite; run it with {@code mvn -o -pl
 * foxtail-core test -Dtest=ClaimTableMeasurement}.
 */
public class ClaimTableMeasurement {

    private static final int BATCH = 100;
    private static final Instant NOW = Instant.parse("2026-12-02T08:00:00Z");

    @Test
    public void measureApplyTime() {
        secondsToApply(50_000);
        for (int keys : new int[] {25_000, 50_000, 100_000, 200_000}) {
            System.out.printf(
                    "measured %d keys: %.0f claims/s folded%n", keys, keys / secondsToApply(keys));
        }
    }

    private static double secondsToApply(int keys) {
        List<ClaimBatch> batches = batches(keys);
        ClaimTable table = new ClaimTable(Duration.ofHours(1), k -> {});
        long start = System.nanoTime();
        batches.forEach(b -> table.apply(b, NOW));
        return (System.nanoTime() - start) / 1e9;
    }

    private static List<ClaimBatch> batches(int keys) {
        Claimant writer = new Claimant(NodeId.of("entry-1"), 1);
        List<ClaimBatch> batches = new ArrayList<>();
        for (int from = 0; from < keys; from += BATCH) {
            List<Claim> claims = new ArrayList<>();
            for (int i = from; i < from + BATCH; i++) {
                Digest digest = Digest.ofTexts("k" + i);
                claims.add(new Claim(new RequestKey(digest), new Fingerprint(digest)));
            }
            batches.add(
                    new ClaimBatch(writer, new Era(7, 1), ClaimBatch.Opening.NONE, NOW, claims));
        }
        return batches;
    }
}
