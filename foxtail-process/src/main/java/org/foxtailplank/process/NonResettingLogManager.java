package org.foxtailplank.process;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers during shutdown.
 *
 * <p>The default log manager removes its handlers in its own shutdown hook, which runs concurrently
 * with the graceful stop and so loses log lines.
 */
public final class NonResettingLogManager extends LogManager {

    @Override
    public void reset() {
        // Called by the shutdown hook of java.util.logging; the handlers flush after each record.
    }

    /** Resets the log manager, so that other handlers can be set. */
    void forceReset() {
        super.reset();
    }
}
