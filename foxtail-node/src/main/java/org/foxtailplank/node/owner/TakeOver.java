package org.foxtailplank.node.owner;

/**
 * A node has become the owner.
 *
 * @param token its fencing token
 * @param predecessorOver whether the owner before it has left with no call to the VM service under
 *     way, or there was none
 * @param renewalsOver whether no earlier owner renews leases of workers any more
 */
public record TakeOver(long token, boolean predecessorOver, boolean renewalsOver) {}
