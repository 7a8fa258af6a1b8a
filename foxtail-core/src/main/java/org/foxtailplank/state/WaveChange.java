package org.foxtailplank.state;

import org.foxtailplank.id.WaveId;

/** A change of one maintenance wave. */
public sealed interface WaveChange extends Change
        permits WaveStarted, WaveControlled, WaveFinished {
    /** Returns the wave that changes. */
    WaveId wave();
}
