package org.foxtailplank.http;

import io.netty.handler.codec.CodecException;

/** Tells errors of this program from those of a connection or of whoever is at its other end. */
final class Broken {
    private Broken() {}

    /** Hands a broken invariant to the handler of uncaught errors; Netty would only log it. */
    static void report(Throwable cause) {
        boolean ours = cause instanceof RuntimeException || cause instanceof Error;
        if (ours && !(cause instanceof CodecException)) {
            Thread thread = Thread.currentThread();
            Thread.getDefaultUncaughtExceptionHandler().uncaughtException(thread, cause);
        }
    }
}
