package org.foxtailplank.wire;

import org.foxtailplank.internal.idempotency.Position;

/**
 * Read position of a node in the claims stream.
 *
 * @param position position of the next record to read
 */
public record ClaimsPosition(Position position) implements PeerMessage {}
