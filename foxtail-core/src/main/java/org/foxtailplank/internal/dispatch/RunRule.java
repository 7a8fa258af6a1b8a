package org.foxtailplank.internal.dispatch;

import org.foxtailplank.internal.routing.AttemptEnd;

/** How often a request may run, and so when another attempt at it is safe. */
public enum RunRule {
    /** It may run again; any failed attempt may be repeated. */
    REPEATABLE {
        @Override
        boolean allowsAnother(AttemptEnd end) {
            return end != AttemptEnd.GOOD;
        }
    },
    /** It runs at most once, under a key; an attempt that certainly did not run may be repeated. */
    ONCE_BY_KEY {
        @Override
        boolean allowsAnother(AttemptEnd end) {
            return end.nothingSent() || end == AttemptEnd.BUSY;
        }
    },
    /**
     * It runs at most once, and without a key nobody could tell a second run: it is sent to one
     * backend server, whose word is not put to the test. Where nothing was sent, another attempt is
     * the first one.
     */
    ONCE {
        @Override
        boolean allowsAnother(AttemptEnd end) {
            return end.nothingSent();
        }
    };

    /** Whether another attempt is safe after one that ended so. */
    abstract boolean allowsAnother(AttemptEnd end);
}
