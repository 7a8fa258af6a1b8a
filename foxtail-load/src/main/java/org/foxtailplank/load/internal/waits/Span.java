package org.foxtailplank.load.internal.waits;

/** A stretch of time, in milliseconds since 1970. */
record Span(long fromMs, long toMs) {

    /** How much of another stretch lies in this one, in milliseconds. */
    long shared(Span other) {
        return Math.max(0, Math.min(toMs, other.toMs) - Math.max(fromMs, other.fromMs));
    }

    long lengthMs() {
        return toMs - fromMs;
    }
}
