package org.foxtailplank.wire;

import org.foxtailplank.internal.idempotency.Position;

/**
 * How far a node has read the claims stream.
 *
 * @param position its position
 */
public record ClaimsPosition(Position position) implements PeerMessage {}
