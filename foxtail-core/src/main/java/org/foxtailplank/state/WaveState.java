package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.id.ZoneId;

/**
 * A maintenance wave as folded from the log.
 *
 * @param id the wave
 * @param zones zones that it covers
 * @param pools pools that it covers; empty for all
 * @param finished zones that are finished
 * @param phase current phase
 * @param lastOrder who gave the last command, and why
 * @param started offset of its start
 * @param version offset of its last change
 */
public record WaveState(
        WaveId id,
        Set<ZoneId> zones,
        Set<PoolId> pools,
        Set<ZoneId> finished,
        WavePhase phase,
        ChangeAuthor lastOrder,
        long started,
        long version) {}
