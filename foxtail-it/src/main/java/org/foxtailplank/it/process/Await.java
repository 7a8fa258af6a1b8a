package org.foxtailplank.it.process;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.locks.LockSupport;

/** Waits for conditions. */
public final class Await {

    private static final Duration LIMIT = Duration.ofSeconds(40);
    private static final long PAUSE_NANOS = 20_000_000;

    private Await() {}

    /** Waits until a condition holds; an exception counts as not yet. */
    public static void until(String what, Callable<Boolean> condition) {
        long end = System.nanoTime() + LIMIT.toNanos();
        Exception last = null;
        while (System.nanoTime() < end) {
            try {
                if (condition.call()) {
                    return;
                }
                last = null;
            } catch (Exception e) {
                last = e;
            }
            LockSupport.parkNanos(PAUSE_NANOS);
        }
        throw new AssertionError("never came about: " + what + '\n' + ProcessReport.text(), last);
    }
}
