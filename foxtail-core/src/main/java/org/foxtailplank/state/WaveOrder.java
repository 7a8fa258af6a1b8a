package org.foxtailplank.state;

/** What an operator or a controller orders of a wave. */
public enum WaveOrder {
    /** Start no further step. */
    PAUSE,
    /** Go on. */
    RESUME,
    /** End it after the steps under way. */
    CANCEL
}
