package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.id.ZoneId;

/**
 * Every VM of a wave in one of its zones has been maintained.
 *
 * @param wave the wave
 * @param zone the finished zone
 */
public record WaveFinished(WaveId wave, ZoneId zone) implements WaveChange {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.of(wave));
    }
}
