package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.WaveId;

/**
 * A wave is paused, resumed or cancelled.
 *
 * @param wave the wave
 * @param order what is ordered
 * @param author who and why
 */
public record WaveControlled(WaveId wave, WaveOrder order, Author author) implements WaveChange {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.of(wave));
    }
}
