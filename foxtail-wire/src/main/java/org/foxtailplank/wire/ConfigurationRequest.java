package org.foxtailplank.wire;

import org.foxtailplank.state.StatePosition;

/**
 * Asks for what is newer than the asker's state.
 *
 * @param position how far the asker is
 * @param stateNumber rolled-up state that is being fetched in chunks; 0 for the newest one
 * @param from first byte wanted of it
 */
public record ConfigurationRequest(StatePosition position, long stateNumber, long from)
        implements PeerMessage {}
