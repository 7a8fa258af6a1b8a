package org.foxtailplank.fleet;

import org.foxtailplank.id.ZoneId;
import org.foxtailplank.internal.wave.RackWavePlanner;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.WaveState;

/** Decides the next step of a maintenance wave; a pure function of its arguments. */
public interface WavePlanner {

    /** Returns a planner that maintains rack by rack. */
    static WavePlanner byRack() {
        return new RackWavePlanner();
    }

    /** Returns the next action of a wave in a zone. */
    WaveDecision next(FleetView view, WaveState wave, ZoneId zone, Observation observation);

    /** Returns all steps of a wave over all of its zones, provided that nothing fails. */
    WavePlan plan(FleetView view, WaveState wave, Observation observation);
}
