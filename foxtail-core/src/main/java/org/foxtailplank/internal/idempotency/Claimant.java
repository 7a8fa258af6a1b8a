package org.foxtailplank.internal.idempotency;

import org.foxtailplank.id.NodeId;

/**
 * An entry process that claims keys.
 *
 * @param node node name, shared with a process that replaces this one
 * @param incarnation random number drawn at process start, unique to this process
 */
public record Claimant(NodeId node, long incarnation) {}
