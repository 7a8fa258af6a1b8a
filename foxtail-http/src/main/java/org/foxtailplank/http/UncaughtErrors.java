package org.foxtailplank.http;

import io.netty.handler.codec.CodecException;

/** Separates programming errors from I/O and protocol errors in channel pipelines. */
final class UncaughtErrors {
    private UncaughtErrors() {}

    /**
     * Passes programming errors to the default uncaught exception handler; Netty only logs them.
     */
    static void report(Throwable cause) {
        boolean unchecked = cause instanceof RuntimeException || cause instanceof Error;
        if (unchecked && !(cause instanceof CodecException)) {
            Thread thread = Thread.currentThread();
            Thread.getDefaultUncaughtExceptionHandler().uncaughtException(thread, cause);
        }
    }
}
