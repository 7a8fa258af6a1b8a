/** Protobuf forms of records and messages, and the Netty link between the system's processes. */
package org.foxtailplank.wire;
