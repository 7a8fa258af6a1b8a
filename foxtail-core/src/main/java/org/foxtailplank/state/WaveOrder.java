package org.foxtailplank.state;

import java.util.Optional;

/** Commands from an operator or a controller to a wave. */
public enum WaveOrder {
    /** Start no further steps. */
    PAUSE(WavePhase.PAUSED),
    /** Start steps again. */
    RESUME(WavePhase.RUNNING),
    /** End the wave after the steps in progress. */
    CANCEL(WavePhase.CANCELLED);

    private final WavePhase mNext;

    WaveOrder(WavePhase next) {
        mNext = next;
    }

    /** Returns the phase of a wave after this command; empty if it changes nothing. */
    public Optional<WavePhase> nextPhase(WavePhase phase) {
        return phase.isEnded() || phase == mNext ? Optional.empty() : Optional.of(mNext);
    }
}
