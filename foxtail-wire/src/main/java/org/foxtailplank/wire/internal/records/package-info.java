/** Conversion of log records and snapshots to and from protobuf. */
package org.foxtailplank.wire.internal.records;
