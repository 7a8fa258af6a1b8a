package org.foxtailplank.state;

/** Where a wave is. */
public enum WavePhase {
    /** Steps are started. */
    RUNNING,
    /** No step is started. */
    PAUSED,
    /** Ended before its end. */
    CANCELLED,
    /** Every VM was maintained. */
    FINISHED;

    /** Whether nothing changes the wave any more. */
    public boolean isEnded() {
        return this == CANCELLED || this == FINISHED;
    }
}
