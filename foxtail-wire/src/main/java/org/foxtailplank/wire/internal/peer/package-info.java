/** Netty link between processes: handshake, framing, connections and heartbeats. */
package org.foxtailplank.wire.internal.peer;
