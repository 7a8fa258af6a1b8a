package org.foxtailplank.node;

/** Runs something later on the node's thread. */
@FunctionalInterface
public interface Timers {

    /** Runs something after so many milliseconds. */
    void after(long delayMs, Runnable action);
}
