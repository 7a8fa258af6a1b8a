/**
 * Peer protocol, over which the owner streams the journal to the other nodes as it reads it.
 *
 * <p>The journal on the shared log stays authoritative. The stream saves the followers reads of the
 * store and lets them detect at once that the owner's process has ended.
 */
package org.foxtailplank.node.peer;
