package org.foxtailplank.node;

import org.foxtailplank.lease.Moment;

/** The times that a node goes by. */
public interface Clock {

    /** The clock of this process. */
    static Clock system() {
        return new Clock() {
            private static final long NANOS_PER_MS = 1_000_000;

            @Override
            public long nowMs() {
                return System.nanoTime() / NANOS_PER_MS;
            }

            @Override
            public long wallMs() {
                return System.currentTimeMillis();
            }
        };
    }

    /** Milliseconds of a steady clock. */
    long nowMs();

    /** Milliseconds since 1970. */
    long wallMs();

    /** Both times of now. */
    default Moment moment() {
        return new Moment(nowMs(), wallMs());
    }
}
