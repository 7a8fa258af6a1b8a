package org.foxtailplank.wire;

import org.foxtailplank.state.StatePosition;

/**
 * Requests state that is newer than the requester's.
 *
 * @param position position of the requester in the log
 * @param stateNumber snapshot that is being fetched in chunks; 0 for the newest one
 * @param from offset of the requested chunk
 */
public record ConfigurationRequest(StatePosition position, long stateNumber, long from)
        implements PeerMessage {}
