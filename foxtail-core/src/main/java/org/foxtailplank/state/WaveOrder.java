package org.foxtailplank.state;

import java.util.Optional;

/** What an operator or a controller orders of a wave. */
public enum WaveOrder {
    /** Start no further step. */
    PAUSE(WavePhase.PAUSED),
    /** Go on. */
    RESUME(WavePhase.RUNNING),
    /** End it after the steps under way. */
    CANCEL(WavePhase.CANCELLED);

    private final WavePhase mNext;

    WaveOrder(WavePhase next) {
        mNext = next;
    }

    /** Phase of a wave after this order; empty where it changes nothing. */
    public Optional<WavePhase> givenIn(WavePhase phase) {
        return phase.isEnded() || phase == mNext ? Optional.empty() : Optional.of(mNext);
    }
}
