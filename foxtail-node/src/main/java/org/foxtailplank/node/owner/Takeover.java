package org.foxtailplank.node.owner;

/**
 * Describes the takeover of a node that has become the owner.
 *
 * @param token its fencing token
 * @param predecessorCallsFinished whether no earlier owner can have a call to the VM service in
 *     flight
 * @param renewalsFinished whether no earlier owner still renews worker leases
 */
public record Takeover(long token, boolean predecessorCallsFinished, boolean renewalsFinished) {}
