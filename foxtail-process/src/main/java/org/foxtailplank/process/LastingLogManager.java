package org.foxtailplank.process;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers while the process stops.
 *
 * <p>Guards against a graceful stop that seems to say nothing: the platform's log manager takes its
 * handlers away in a shutdown hook of its own, which runs at the same time as the one that finishes
 * what is in flight, so the lines about leaving were lost. Only {@link Logs} resets this one.
 */
public final class LastingLogManager extends LogManager {

    @Override
    public void reset() {
        // Called by the shutdown hook of java.util.logging; the handlers flush each line anyway.
    }

    /** Takes the handlers away so that others can be set. */
    void clear() {
        super.reset();
    }
}
