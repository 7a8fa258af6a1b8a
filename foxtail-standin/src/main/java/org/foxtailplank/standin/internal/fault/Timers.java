package org.foxtailplank.standin.internal.fault;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Runs things later, with less than a millisecond of delay of its own. */
public final class Timers {

    private static final ScheduledExecutorService EXECUTOR =
            Executors.newScheduledThreadPool(
                    2,
                    r -> {
                        Thread thread = new Thread(r, "standin-timer");
                        thread.setDaemon(true);
                        return thread;
                    });

    private Timers() {}

    /** Completes after some time. */
    public static CompletableFuture<Void> after(long ms) {
        return afterNanos(TimeUnit.MILLISECONDS.toNanos(ms));
    }

    /** Completes after some time. */
    public static CompletableFuture<Void> afterNanos(long ns) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        EXECUTOR.schedule(() -> done.complete(null), ns, TimeUnit.NANOSECONDS);
        return done;
    }

    /** Runs a task again and again until it is cancelled. */
    public static AutoCloseable every(long ms, Runnable task) {
        var scheduled = EXECUTOR.scheduleWithFixedDelay(task, ms, ms, TimeUnit.MILLISECONDS);
        return () -> scheduled.cancel(false);
    }
}
