package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.id.ZoneId;

/**
 * A maintenance wave starts.
 *
 * @param wave the wave
 * @param zones availability zones it covers
 * @param pools pools it covers; empty for all
 * @param author who and why
 */
public record WaveStarted(WaveId wave, Set<ZoneId> zones, Set<PoolId> pools, Author author)
        implements WaveChange {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.of(wave));
    }
}
