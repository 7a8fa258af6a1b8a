package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.id.ZoneId;

/**
 * Start of a maintenance wave.
 *
 * @param wave the wave
 * @param zones availability zones that it covers
 * @param pools pools that it covers; empty for all
 * @param author who started it, and why
 */
public record WaveStarted(WaveId wave, Set<ZoneId> zones, Set<PoolId> pools, ChangeAuthor author)
        implements WaveChange {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.of(wave));
    }
}
