package org.foxtailplank.process;

import java.util.logging.Level;

/** Minimum level of the records that are logged. */
public enum LogLevel {
    /** Conditions that need attention. */
    WARNING(Level.WARNING),
    /** Normal operation. */
    INFO(Level.INFO),
    /** Each step of each request, to trace requests by id. */
    DEBUG(Level.FINE);

    private final Level mLevel;

    LogLevel(Level level) {
        mLevel = level;
    }

    Level level() {
        return mLevel;
    }
}
