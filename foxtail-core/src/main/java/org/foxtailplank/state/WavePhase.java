package org.foxtailplank.state;

/** Phases of a maintenance wave. */
public enum WavePhase {
    /** Steps may start. */
    RUNNING,
    /** No step may start. */
    PAUSED,
    /** Cancelled before every VM was maintained. */
    CANCELLED,
    /** Every VM was maintained. */
    FINISHED;

    /** Returns whether the phase is final. */
    public boolean isEnded() {
        return this == CANCELLED || this == FINISHED;
    }
}
