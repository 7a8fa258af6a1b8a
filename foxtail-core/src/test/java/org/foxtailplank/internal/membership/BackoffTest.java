package org.foxtailplank.internal.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

public class BackoffTest {

    @Test
    public void delaysDoubleUpToTheMaximumAndRestartAfterAReset() {
        Backoff backoff = new Backoff(100, 400, new Random(1));
        assertBetween(backoff.next(), 50, 100);
        assertBetween(backoff.next(), 100, 200);
        assertBetween(backoff.next(), 200, 400);
        assertBetween(backoff.next(), 200, 400);
        backoff.reset();
        assertBetween(backoff.next(), 50, 100);
    }

    @Test
    public void connectionAttemptsAreRateLimited() {
        ConnectRateLimiter limiter = new ConnectRateLimiter(10, 3, 0);
        assertEquals(acquired(limiter, 0), 3);
        assertEquals(acquired(limiter, 200_000_000L), 2);
        assertEquals(acquired(limiter, 3_600_000_000_000L), 3);
    }

    private static int acquired(ConnectRateLimiter limiter, long now) {
        int acquired = 0;
        while (limiter.tryAcquire(now)) {
            acquired++;
        }
        return acquired;
    }

    private static void assertBetween(long value, long low, long high) {
        assertTrue(value >= low && value <= high, value + " in " + low + ".." + high);
    }
}
