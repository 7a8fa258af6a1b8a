package org.foxtailplank.node;

/** Schedules actions on the node's event loop thread. */
@FunctionalInterface
public interface Timers {

    /** Runs an action after a delay in milliseconds. */
    void after(long delayMs, Runnable action);
}
