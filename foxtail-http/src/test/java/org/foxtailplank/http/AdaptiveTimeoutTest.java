package org.foxtailplank.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests how {@link AdaptiveTimeout} follows observed response times. */
public class AdaptiveTimeoutTest {
    private static final long INITIAL_MS = 700;
    private static final long MIN_MS = 300;
    private static final long MAX_MS = 2500;

    private final AdaptiveTimeout mTimeout = new AdaptiveTimeout(INITIAL_MS, MIN_MS, MAX_MS);

    @Test
    public void timeoutShrinksToMinimumForAFastServer() {
        // Otherwise each lost response costs the initial timeout.
        for (int i = 0; i < 30; i++) {
            mTimeout.answered(10);
        }
        assertEquals(mTimeout.timeoutMs(), MIN_MS);
    }

    @Test
    public void timeoutGrowsToTheResponseTimeOfASlowServer() {
        // Otherwise every call times out, and the retries slow the server down further.
        AdaptiveTimeout timeout = new AdaptiveTimeout(INITIAL_MS, MIN_MS, MAX_MS);
        int answered = 0;
        for (int i = 0; i < 10; i++) {
            if (timeout.timeoutMs() >= 1000) {
                timeout.answered(1000);
                answered++;
            } else {
                timeout.timedOut();
            }
        }
        assertEquals(answered, 9, "only the first call may time out");
    }

    @Test
    public void timeoutIsCappedForAnUnresponsiveServerAndRecovers() {
        AdaptiveTimeout timeout = new AdaptiveTimeout(INITIAL_MS, MIN_MS, MAX_MS);
        for (int i = 0; i < 20; i++) {
            timeout.timedOut();
        }
        assertEquals(timeout.timeoutMs(), MAX_MS);
        for (int i = 0; i < 40; i++) {
            timeout.answered(10);
        }
        assertTrue(timeout.timeoutMs() < INITIAL_MS, "the timeout must shrink again");
    }
}
