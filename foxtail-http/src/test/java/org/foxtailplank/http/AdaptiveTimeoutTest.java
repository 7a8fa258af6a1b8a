package org.foxtailplank.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** How long answers are waited for. */
public class AdaptiveTimeoutTest {
    private static final long FIRST_MS = 700;
    private static final long LEAST_MS = 300;
    private static final long MOST_MS = 2500;

    private final AdaptiveTimeout mTimeout = new AdaptiveTimeout(FIRST_MS, LEAST_MS, MOST_MS);

    @Test
    public void aServerThatAnswersFastIsNotWaitedForLong() {
        // A store loses a third of its answers: each loss cost the fixed timeout of 700 ms, and
        // jobs stood still meanwhile.
        for (int i = 0; i < 30; i++) {
            mTimeout.answered(10);
        }
        assertEquals(mTimeout.timeoutMs(), LEAST_MS);
    }

    @Test
    public void aSlowServerIsGivenTheTimeThatItTakes() {
        // A store takes a second for an answer: calls given up after 700 ms are repeated, and the
        // repetitions make it slower still, so that none of them is ever answered in time.
        AdaptiveTimeout timeout = new AdaptiveTimeout(FIRST_MS, LEAST_MS, MOST_MS);
        int answered = 0;
        for (int i = 0; i < 10; i++) {
            if (timeout.timeoutMs() >= 1000) {
                timeout.answered(1000);
                answered++;
            } else {
                timeout.timedOut();
            }
        }
        assertEquals(answered, 9, "only the first one was given up");
    }

    @Test
    public void aServerThatIsGoneIsNotWaitedForWithoutEnd() {
        AdaptiveTimeout timeout = new AdaptiveTimeout(FIRST_MS, LEAST_MS, MOST_MS);
        for (int i = 0; i < 20; i++) {
            timeout.timedOut();
        }
        assertEquals(timeout.timeoutMs(), MOST_MS);
        for (int i = 0; i < 40; i++) {
            timeout.answered(10);
        }
        assertTrue(timeout.timeoutMs() < FIRST_MS, "it is back");
    }
}
