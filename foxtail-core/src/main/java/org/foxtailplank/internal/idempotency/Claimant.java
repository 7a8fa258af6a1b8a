package org.foxtailplank.internal.idempotency;

import org.foxtailplank.id.NodeId;

/**
 * One life of an entry process.
 *
 * @param node node name, which a replacement takes over
 * @param incarnation number drawn when the process started, which it does not
 */
public record Claimant(NodeId node, long incarnation) {}
