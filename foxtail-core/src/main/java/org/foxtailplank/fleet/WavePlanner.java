package org.foxtailplank.fleet;

import org.foxtailplank.id.ZoneId;
import org.foxtailplank.internal.wave.RackWavePlanner;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.WaveState;

/** Decides the next step of a maintenance wave; a pure function of what it is given. */
public interface WavePlanner {

    /** A planner that goes rack by rack. */
    static WavePlanner byRack() {
        return new RackWavePlanner();
    }

    /** What the wave does next in a zone. */
    WaveDecision next(FleetView view, WaveState wave, ZoneId zone, Observation seen);

    /** All steps of the wave, its zones together, if nothing fails meanwhile. */
    WavePlan plan(FleetView view, WaveState wave, Observation seen);
}
