package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.WaveId;

/**
 * Pausing, resuming or cancelling of a wave.
 *
 * @param wave the wave
 * @param order the command
 * @param author who gave the command, and why
 */
public record WaveControlled(WaveId wave, WaveOrder order, ChangeAuthor author)
        implements WaveChange {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.of(wave));
    }
}
