package org.foxtailplank.node;

import java.util.function.Consumer;

/**
 * Ends the process on an unchecked exception or error; another node recovers from the journal.
 *
 * <p>The process ends even if the error can't be reported: the classes that the report needs may be
 * the ones that can't be loaded. A process whose main thread has died would otherwise stay up
 * without serving, and nothing would restart it.
 */
final class FailFast implements Thread.UncaughtExceptionHandler {
    private final Consumer<Throwable> mReport;
    private final Runnable mHalt;

    /**
     * Creates a handler.
     *
     * @param report reports the error; may fail
     * @param halt ends the process
     */
    FailFast(Consumer<Throwable> report, Runnable halt) {
        mReport = report;
        mHalt = halt;
    }

    @Override
    public void uncaughtException(Thread thread, Throwable error) {
        try {
            mReport.accept(error);
        } finally {
            mHalt.run();
        }
    }

    /** Returns an action that ends the process if the given one fails. */
    Runnable guard(Runnable action) {
        return () -> {
            try {
                action.run();
            } catch (RuntimeException | Error e) {
                uncaughtException(Thread.currentThread(), e);
            }
        };
    }
}
