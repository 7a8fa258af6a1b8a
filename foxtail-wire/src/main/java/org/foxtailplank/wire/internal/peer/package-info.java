/** The Netty link between the system's processes: handshake, frames, connections, heartbeats. */
package org.foxtailplank.wire.internal.peer;
