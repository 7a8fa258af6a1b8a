package org.foxtailplank.internal.idempotency;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Demonstrates why key ownership by hash and lease was rejected: a key may run twice. */
public class HashOwnershipCounterexampleTest {

    private static final int KEYS = 10_000;
    private static final Duration LEASE = Duration.ofSeconds(2);

    /** A member that checks its lease before it runs a key. */
    private static final class LeaseHolder {
        private Instant mUntil;

        private boolean mayRun(Instant now) {
            return now.isBefore(mUntil);
        }
    }

    /** Members with different membership views assign a key to different owners. */
    @Test
    public void membersWithDifferentViewsSendKeysToDifferentOwners() {
        List<String> before = names(9);
        List<String> after = new ArrayList<>(before);
        after.set(4, "entry-4-new");
        long differ =
                IntStream.range(0, KEYS)
                        .filter(k -> !owner("k" + k, before).equals(owner("k" + k, after)))
                        .count();
        System.out.println("hash ownership: " + differ + " of " + KEYS + " keys have two owners");
        assertTrue(differ > 0);
    }

    /**
     * A lease holder paused between its check and the send runs a key after its successor did.
     * Backend servers support no fencing tokens.
     */
    @Test
    public void pausedHolderRunsKeyThatItsSuccessorRan() {
        Instant now = Instant.parse("2026-12-02T08:00:00Z");
        List<String> executions = new ArrayList<>();
        LeaseHolder first = new LeaseHolder();
        first.mUntil = now.plus(LEASE);
        boolean checked = first.mayRun(now);
        Instant later = now.plus(LEASE);
        LeaseHolder successor = new LeaseHolder();
        successor.mUntil = later.plus(LEASE);
        if (successor.mayRun(later)) {
            executions.add("successor");
        }
        if (checked) {
            executions.add("first");
        }
        assertEquals(executions.size(), 2);
    }

    private static String owner(String key, List<String> members) {
        return members.stream()
                .max(Comparator.comparingLong(m -> Digest.ofTexts(m, key).high()))
                .orElseThrow();
    }

    private static List<String> names(int count) {
        return IntStream.range(0, count).mapToObj(i -> "entry-" + i).toList();
    }
}
