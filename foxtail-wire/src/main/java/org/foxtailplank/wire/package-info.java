/** Protobuf codecs of records and messages, and the Netty link between processes. */
package org.foxtailplank.wire;
