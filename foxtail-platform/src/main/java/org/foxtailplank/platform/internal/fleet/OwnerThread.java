package org.foxtailplank.platform.internal.fleet;

import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.foxtailplank.process.Log;

/** The one thread that owns the followed state. */
final class OwnerThread {
    private static final Log LOG = Log.of("fleet-log");

    private final ScheduledExecutorService mExecutor =
            Executors.newSingleThreadScheduledExecutor(
                    r -> {
                        Thread t = new Thread(r, "fleet-log");
                        t.setDaemon(true);
                        return t;
                    });

    void execute(Runnable task) {
        later(task, 0);
    }

    /** Runs a task after a pause; drops it once the thread is stopped. */
    void later(Runnable task, long millis) {
        try {
            mExecutor.schedule(() -> guarded(task), millis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            LOG.debug("A task came after the end");
        }
    }

    /** Takes the result of a stage back to this thread. */
    <T> void handle(CompletionStage<T> stage, BiConsumer<T, Throwable> handler) {
        stage.whenComplete((v, e) -> execute(() -> handler.accept(v, cause(e))));
    }

    void stop() {
        mExecutor.shutdown();
    }

    /** The error that a stage reports inside its wrapper. */
    static Throwable cause(Throwable error) {
        return error instanceof CompletionException && error.getCause() != null
                ? error.getCause()
                : error;
    }

    /** A broken invariant stops the process: going on would act on a wrong state. */
    private static void guarded(Runnable task) {
        try {
            task.run();
        } catch (IllegalStateException e) {
            LOG.error("A broken invariant, the state is not trusted: {0}", e);
            Thread t = Thread.currentThread();
            t.getUncaughtExceptionHandler().uncaughtException(t, e);
            throw e;
        }
    }
}
