package org.foxtailplank.process;

import java.util.logging.Level;

/** How much is logged. */
public enum LogLevel {
    /** What an operator should look at. */
    WARNING(Level.WARNING),
    /** What an operator may want to know. */
    INFO(Level.INFO),
    /** Also each step of each request, to follow one by its id. */
    DEBUG(Level.FINE);

    private final Level mLevel;

    LogLevel(Level level) {
        mLevel = level;
    }

    Level level() {
        return mLevel;
    }
}
