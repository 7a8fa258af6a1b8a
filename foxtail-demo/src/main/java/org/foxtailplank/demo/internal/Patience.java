package org.foxtailplank.demo.internal;

import java.time.Duration;
import java.util.function.Predicate;
import org.foxtailplank.process.ProcessException;

/** Waits for a condition, for a bounded time. */
public final class Patience {

    private static final Duration LIMIT = Duration.ofSeconds(20);
    private static final long PAUSE_MS = 50;

    private Patience() {}

    /** Looks at something. */
    @FunctionalInterface
    public interface Look<T> {
        /** What is there now. */
        T now() throws ProcessException, InterruptedException;
    }

    /** Looks until the condition holds. */
    public static <T> T until(String what, Look<T> look, Predicate<T> condition)
            throws ProcessException, InterruptedException {
        long end = System.nanoTime() + LIMIT.toNanos();
        T seen = look.now();
        while (!condition.test(seen)) {
            if (System.nanoTime() > end) {
                throw ProcessException.failed(
                        what
                                + " did not come about in "
                                + LIMIT.toSeconds()
                                + " s; last seen: "
                                + seen,
                        null);
            }
            Thread.sleep(PAUSE_MS);
            seen = look.now();
        }
        return seen;
    }
}
