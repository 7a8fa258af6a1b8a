package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.id.ZoneId;

/**
 * A maintenance wave as folded from the log.
 *
 * @param id the wave
 * @param zones zones it covers
 * @param pools pools it covers; empty for all
 * @param finished zones that are finished
 * @param phase where it is
 * @param lastOrder who ordered the last change, and why
 * @param started offset of its start
 * @param version offset of its last change
 */
public record WaveState(
        WaveId id,
        Set<ZoneId> zones,
        Set<PoolId> pools,
        Set<ZoneId> finished,
        WavePhase phase,
        Author lastOrder,
        long started,
        long version) {}
